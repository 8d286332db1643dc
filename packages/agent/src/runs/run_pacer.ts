import {toChicoryspringError, type Clock} from '@chicoryspring/contracts';
import type {ColocatedRun} from '@chicoryspring/jobs/pace/colocated_run_types.js';
import type {PacePolicy} from '@chicoryspring/jobs/pace/pace_policy_types.js';
import type {StateLog} from '@chicoryspring/observability';
import type {ManagedRun} from './managed_run.js';
import type {RunWorkerClient} from './run_worker_client_types.js';
import type {FencingToken} from './fencing_token.js';

/** Time after which a new pace is visible in the measurements. */
const PACE_INTERVAL_MILLISECONDS = 550;
const MILLICORES_PER_PROCESSOR = 1_000;
const FULL_PERCENT = 100;
/** Pace in percent below which the use at full pace is not extrapolated. */
const MIN_INFORMATIVE_PERCENT = 25;

/**
 * Sets the paces of best-effort runs, so that latency-critical runs keep their
 * goals.
 *
 * A pace is the CPU share in percent at which a run may work.
 */
export class RunPacer {
  /** Local instant of the next adjustment. */
  private nextAdjustmentAt = 0;

  constructor(
    private readonly worker: RunWorkerClient,
    private readonly fencingToken: FencingToken,
    private readonly policy: PacePolicy,
    /** Processor count of the worker. */
    private readonly processors: () => number,
    private readonly clock: Clock,
    private readonly log: StateLog,
  ) {}

  /** Sets the pace of a run that has just started, as its order says. */
  setInitialPace(run: ManagedRun): void {
    const {pace = run.pace} = run.order ?? {};
    if (pace < run.pace) void this.setPace(run, pace);
  }

  /** Adjusts the paces once the measurements can show the last ones. */
  adjustPaces(runs: readonly ManagedRun[]): void {
    const now = this.clock.now();
    if (now < this.nextAdjustmentAt) return;
    this.nextAdjustmentAt = now + PACE_INTERVAL_MILLISECONDS;
    const processors = this.processors();
    const known = runs.flatMap(run => toColocatedRun(run, processors));
    const paces = this.policy.paces(known);
    for (const run of runs) {
      const percent = paces.get(run.key);
      const isSet = percent !== undefined && run.phase === 'running';
      if (isSet) void this.setPace(run, percent);
    }
  }

  private async setPace(run: ManagedRun, percent: number): Promise<void> {
    const {task, run: number, measure} = run;
    const fields = {taskId: task, run: number, percent, measure};
    try {
      await this.worker.pace(task, number, percent, this.fencingToken.value);
      run.pace = percent;
      this.log.change('run paced', fields);
    } catch (thrown) {
      const {message} = toChicoryspringError(thrown);
      this.log.change('pace not set', {...fields, message});
    }
  }
}

/** The run as the pace policy sees it; empty if it has no description. */
function toColocatedRun(
  run: ManagedRun,
  processors: number,
): readonly ColocatedRun[] {
  const {description, key, pace, measure} = run;
  if (!description) return [];
  const {isFilling, image = '', goalMilliseconds, resources} = description;
  const isLatencyCritical = !isFilling && goalMilliseconds !== undefined;
  const share = isFilling ? measure / MILLICORES_PER_PROCESSOR / processors : 0;
  const isInformative = share > 0 && pace >= MIN_INFORMATIVE_PERCENT;
  return [
    {
      key,
      image,
      isFilling,
      pace,
      share,
      fullShare: isInformative
        ? (share * FULL_PERCENT) / pace
        : resources.processors / processors,
      headroom:
        isLatencyCritical && measure > 0
          ? goalMilliseconds / measure
          : undefined,
    },
  ];
}
