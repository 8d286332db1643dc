import type {Deadliness} from './deadliness_types.js';
import {FakeRunWorker} from './fake_run_worker.js';
import type {JobFleetFixture} from './job_fleet_fixture.js';

/** Time after which a crashed worker is back under a new incarnation. */
const RESTART_MILLISECONDS = 3_000;
/** The same for one that is silent; its lease has expired by then. */
const SILENT_RESTART_MILLISECONDS = 10_000;

/** An agent with the incarnations of its worker, which comes back from crashes. */
export class CrashingAgent {
  readonly started: ReturnType<JobFleetFixture['startAgent']>;
  /** All incarnations of the worker, the newest last. */
  private incarnations: readonly FakeRunWorker[];
  /** Local instant at which the next incarnation joins, after a crash. */
  private restartAt: number | undefined;

  constructor(
    private readonly fleet: JobFleetFixture,
    readonly name: string,
    private readonly deadlyTasks: ReadonlySet<string>,
    private readonly deadliness: Deadliness,
  ) {
    const worker = this.createWorker();
    this.incarnations = [worker];
    this.started = fleet.startAgent(name, worker);
  }

  get workers(): readonly FakeRunWorker[] {
    return this.incarnations;
  }

  /** The newest incarnation of the worker. */
  get worker(): FakeRunWorker {
    return this.incarnations.at(-1)!;
  }

  /** Lets a worker that has crashed for long enough come back. */
  restartIfCrashed(): void {
    const {fleet, name} = this;
    const {hasExited, isSilent} = this.worker;
    if (!hasExited && !isSilent) return;
    const now = fleet.clock.now();
    this.restartAt ??=
      now + (hasExited ? RESTART_MILLISECONDS : SILENT_RESTART_MILLISECONDS);
    if (now < this.restartAt) return;
    this.restartAt = undefined;
    const worker = this.createWorker();
    this.incarnations = [...this.incarnations, worker];
    const life = `${name}@${this.incarnations.length}`;
    const description = fleet.describeWorker(name, life);
    void this.started.agent.registerWorker(description, () => worker);
  }

  private createWorker(): FakeRunWorker {
    const worker = new FakeRunWorker(this.fleet.clock);
    worker.deadlyTasks = this.deadlyTasks;
    worker.deadliness = this.deadliness;
    return worker;
  }
}
