import {TaskName, type JobStep} from '@chicoryspring/contracts';
import {DurationModel} from '../duration/duration_model.js';
import {WorkRateTable} from '../duration/work_rate_table.js';
import {CachedWorkerEnds} from '../fleet/cached_worker_ends.js';
import {ExpectedRunEnds} from '../fleet/expected_run_ends.js';
import type {RunsInProgress} from '../fleet/runs_in_progress_types.js';
import {WorkerViewBuilder} from '../fleet/worker_view_builder.js';
import type {WorkerView} from '../fleet/worker_view_types.js';
import {InterferenceModel} from '../interference/interference_model.js';
import {OwnedTask} from '../job/owned_task.js';
import {PackingRunPlacementPolicy} from '../placement/packing_run_placement_policy.js';
import {RunFit} from '../placement/run_fit.js';
import type {RunPlacementPolicy} from '../placement/run_placement_policy_types.js';
import type {ReservationObserver} from '../reservation/reservation_observer_types.js';
import {ReservationManager} from '../reservation/reservation_manager.js';
import {ReservationRule} from '../reservation/reservation_rule.js';
import {ReservationTable} from '../reservation/reservation_table.js';
import {ReservingRunPlacementPolicy} from '../reservation/reserving_run_placement_policy.js';
import {JobValues} from './job_values.js';

const ROUND_MILLISECONDS = 250;

/** A job of one step that the play submits. */
interface PlayJob {
  readonly id: string;
  readonly step: Partial<JobStep>;
  readonly priority: number;
  /** Real run time of each of its tasks. */
  readonly runMilliseconds: number;
}

interface PlayedRun {
  readonly job: PlayJob;
  readonly task: OwnedTask;
  readonly agent: string;
  readonly startedAt: number;
}

/** Plays placement rounds on idle workers, the earliest jobs first. */
export class PlacementPlay {
  now = 0;
  /** Choices so far, `TASK@AGENT`. */
  readonly choices: string[] = [];
  readonly table = new ReservationTable();
  private readonly groups: {
    readonly job: PlayJob;
    readonly tasks: readonly OwnedTask[];
  }[] = [];
  private runs: readonly PlayedRun[] = [];
  private readonly policy: RunPlacementPolicy;
  private readonly manager: ReservationManager | undefined;

  constructor(
    private workers: readonly WorkerView[],
    isReserving: boolean,
    observer: ReservationObserver = {made() {}, ended() {}, backfilled() {}},
  ) {
    const packing = new PackingRunPlacementPolicy(new InterferenceModel());
    const model = new DurationModel();
    const rates = new WorkRateTable();
    const ends = new CachedWorkerEnds(
      new ExpectedRunEnds(this.runsInProgress(), model, rates),
    );
    const {table} = this;
    const rule = new ReservationRule({table, ends, model, rates});
    this.policy = isReserving
      ? new ReservingRunPlacementPolicy(packing, rule)
      : packing;
    this.manager = isReserving
      ? new ReservationManager({table, rule, ends, observer})
      : undefined;
  }

  get waiting(): number {
    return this.groups.length;
  }

  submit(job: PlayJob): void {
    const step = JobValues.step(job.step);
    const tasks = Array.from({length: step.count}, (_, index) => {
      const name = TaskName.format(job.id, 0, 0, index);
      return new OwnedTask({name, occurrence: 0, stepNumber: 0, step}, 0);
    });
    if (step.isGang) this.groups.push({job, tasks});
    else for (const task of tasks) this.groups.push({job, tasks: [task]});
  }

  /** Goes on with other workers; runs on those that are gone are lost. */
  replaceWorkers(workers: readonly WorkerView[]): void {
    this.workers = workers;
    const agents = new Set(workers.map(one => one.agent));
    this.runs = this.runs.filter(({agent}) => agents.has(agent));
  }

  /** Whether a task of the job has started. */
  hasStarted(id: string): boolean {
    return this.choices.some(one => one.startsWith(`${id}.`));
  }

  /** Ends the runs that are over, then places what waits. */
  playRound(): void {
    this.now += ROUND_MILLISECONDS;
    this.runs = this.runs.filter(
      ({startedAt, job}) => startedAt + job.runMilliseconds > this.now,
    );
    this.manager?.beginRound(new Set(this.groups.map(({job}) => job.id)));
    const views = new Map(this.workers.map(one => [one.agent, one]));
    for (const run of this.runs) addRun(views, run);
    for (const group of [...this.groups]) this.placeGroup(group, views);
  }

  private placeGroup(
    group: (typeof this.groups)[number],
    views: Map<string, WorkerView>,
  ): void {
    const {job, tasks} = group;
    const requestOf = (task: OwnedTask) => this.requestOf(job, task);
    const candidates = new Map(views);
    const placements = [];
    for (const task of tasks) {
      const request = requestOf(task);
      const view = this.policy.choose(request, [...candidates.values()]);
      if (!view) return this.manager?.unplaced(tasks, views, requestOf);
      placements.push({request, view});
      addRun(candidates, {job, task, agent: view.agent, startedAt: this.now});
    }
    for (const {request, view} of placements) {
      const {task} = request;
      this.choices.push(`${task.name}@${view.agent}`);
      const run = {job, task, agent: view.agent, startedAt: this.now};
      addRun(views, run);
      this.runs = [...this.runs, run];
    }
    this.manager?.started(placements, () => 100);
    this.groups.splice(this.groups.indexOf(group), 1);
  }

  private requestOf({priority}: PlayJob, task: OwnedTask) {
    const {now} = this;
    const constraints = {service: 's', domainsOut: [], queue: 'q', priority};
    return {task, ...constraints, now, isStarved: false};
  }

  private runsInProgress(): RunsInProgress {
    return {
      hasForeignLastingRun: () => false,
      runsOn: (name, now) =>
        this.runs
          .filter(({agent}) => agent === name)
          .map(({task, startedAt}) => ({
            stepClass: {...task.step, queue: 'q', stepNumber: 0},
            commitment: RunFit.commitmentOf(task.step),
            isLasting: task.step.isLasting,
            activeMilliseconds: now - startedAt,
            firstPercent: 0,
            percent: 0,
            pace: 100,
          })),
    };
  }
}

function addRun(views: Map<string, WorkerView>, run: PlayedRun): void {
  const {task, agent} = run;
  const {step, name} = task;
  const view = views.get(agent)!;
  const placed = {...step, task: name, run: 1};
  views.set(agent, WorkerViewBuilder.withRun(view, placed));
}
