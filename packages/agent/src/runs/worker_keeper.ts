import {
  ChicoryspringError,
  ResourcesArithmetic,
  toChicoryspringError,
  type Clock,
  type Resources,
  type RunDescription,
  type RunOrder,
  type WorkerDescription,
  type WorkerReport,
} from '@chicoryspring/contracts';
import {RunFit, type PacePolicy} from '@chicoryspring/jobs';
import type {StateLog} from '@chicoryspring/observability';
import {EndingList} from './ending_list.js';
import {freeCapacity} from './free_capacity.js';
import type {FoundRun} from './found_run_types.js';
import type {LeaseRenewalAnswer} from './lease_renewal_answer_types.js';
import {KeptRun} from './kept_run.js';
import {RefusalList} from './refusal_list.js';
import {RunPacer} from './run_pacer.js';
import {RunStarter} from './run_starter.js';
import type {RunWorkerClient} from './run_worker_client_types.js';
import type {ShardPermissions} from './shard_permissions.js';
import {WorkerFence} from './worker_fence.js';
import {WorkerLease} from './worker_lease.js';

/** Lease that a worker is given each time, in milliseconds. */
const LEASE_MILLISECONDS = 6_000;
/** Time for which the worker may hold a question. */
const WAIT_MILLISECONDS = 400;
const RETRY_MILLISECONDS = 150;
/** Time between two looks while ends are not settled. */
const UNSETTLED_MILLISECONDS = 40;
/** Time without an answer after which the worker gets no new runs. */
const SILENCE_MILLISECONDS = 1_500;
/** Refused connections in a row that show that the worker is gone. */
const REFUSALS_OF_THE_DEAD = 3;

/** One life of a worker: its runs, its lease and the ends it lists. */
export class WorkerKeeper {
  readonly endings = new EndingList();
  private readonly refused = new RefusalList();
  private readonly runs = new Map<string, KeptRun>();
  private readonly ending = new AbortController();
  private readonly fence: WorkerFence;
  private readonly starter: RunStarter;
  private readonly pacer: RunPacer;
  private answeredAt: number;
  private readonly lease = new WorkerLease();
  private refusedConnections = 0;
  private isListed = false;

  constructor(
    private described: WorkerDescription,
    private readonly worker: RunWorkerClient,
    private readonly permissions: ShardPermissions,
    pacePolicy: PacePolicy,
    private readonly clock: Clock,
    private readonly log: StateLog,
    private readonly onChange: () => void,
  ) {
    this.answeredAt = clock.now();
    this.fence = new WorkerFence(clock.now());
    this.pacer = new RunPacer(
      worker,
      this.fence,
      pacePolicy,
      () => this.described.capacity.processors,
      clock,
      log,
    );
    this.starter = new RunStarter(worker, this.fence, clock, log, {
      leaseMilliseconds: LEASE_MILLISECONDS,
      onStarted: run => this.started(run),
      onRefused: (run, reason) => this.noteRefused(run, reason),
      isKept: run => this.runs.get(run.key) === run && !this.isOver,
    });
  }

  get life(): string {
    return this.described.life;
  }

  get description(): WorkerDescription {
    return {...this.described, isAnswering: this.isAnswering};
  }

  /** Whether the worker has listed its runs to this life of the agent. */
  get isKnown(): boolean {
    return this.isListed;
  }

  /** The last runs that the worker refused, with reasons. */
  get refusals(): WorkerReport['refusals'] {
    return this.refused.all;
  }

  get statuses(): WorkerReport['runs'] {
    return [...this.runs.values()].map(run => run.status);
  }

  /** What is not committed; nothing while a run is unknown. */
  get free(): Resources {
    if (!this.isListed) return ResourcesArithmetic.none;
    return freeCapacity(this.described.capacity, [...this.runs.values()]);
  }

  /** Takes in a newer description of the same life. */
  describe(description: WorkerDescription): void {
    this.described = description;
    this.onChange();
  }

  /** The task of this worker: holds it and looks at it, again and again. */
  async run(): Promise<void> {
    const {signal} = this.ending;
    while (!signal.aborted) {
      const askedAt = this.clock.now();
      const isAnswered = await this.holdOnce(askedAt);
      this.dropLapsed();
      if (isAnswered && this.endings.unsettled.length === 0) continue;
      // A worker with unsettled ends answers at once.
      const pause = isAnswered ? UNSETTLED_MILLISECONDS : RETRY_MILLISECONDS;
      await this.clock.sleepUntil(this.clock.now() + pause, signal);
    }
  }

  /** Takes a run on, or throws; nothing was sent then. */
  start(order: RunOrder): void {
    const run = KeptRun.ordered(order);
    if (this.runs.has(run.key)) return;
    this.requireRoom(order.description);
    this.runs.set(run.key, run);
    void this.starter.start(run);
    this.onChange();
  }

  /** Stops a run; nothing happens for one that is not there. */
  stop(task: string, run: number): void {
    const kept = this.runs.get(KeptRun.keyOf(task, run));
    if (!kept || kept.phase === 'stopping') return;
    kept.phase = 'stopping';
    void this.starter.stop(kept);
    this.onChange();
  }

  /** Takes in what a run commits that was found on the worker. */
  describeRun(task: string, run: number, description: RunDescription): void {
    const kept = this.runs.get(KeptRun.keyOf(task, run));
    if (!kept || kept.description) return;
    kept.description = description;
    this.onChange();
  }

  /** Ends the task; the worker is gone or has started anew. */
  async end(): Promise<void> {
    this.ending.abort();
    this.runs.clear();
    await this.worker.close();
  }

  private get isOver(): boolean {
    return this.ending.signal.aborted;
  }

  private get isAnswering(): boolean {
    return this.isListed && !this.isSilent;
  }

  private get isSilent(): boolean {
    return this.clock.now() - this.answeredAt >= SILENCE_MILLISECONDS;
  }

  private requireRoom(description: RunDescription): void {
    if (this.described.isLeaving) {
      throw new ChicoryspringError('draining', 'the worker is leaving');
    }
    if (!this.isAnswering) {
      const message = 'the worker does not answer';
      throw new ChicoryspringError('worker-unreachable', message);
    }
    const needed = RunFit.commitmentOf(description);
    if (ResourcesArithmetic.fits(needed, this.free)) return;
    throw new ChicoryspringError('capacity-exceeded', 'there is no room');
  }

  /** Holds the worker once; false when it should be tried later. */
  private async holdOnce(askedAt: number): Promise<boolean> {
    const leaseMilliseconds = this.leaseAt(askedAt);
    const {acknowledgedUpTo} = this.endings;
    if (leaseMilliseconds) this.lease.extend(askedAt, leaseMilliseconds);
    try {
      const answer = await this.worker.renewLease({
        fencingToken: this.fence.value,
        acknowledgedUpTo,
        leaseMilliseconds,
        waitMilliseconds: this.isListed ? WAIT_MILLISECONDS : 0,
      });
      return this.answered(answer, askedAt);
    } catch (thrown) {
      return this.unanswered(toChicoryspringError(thrown));
    }
  }

  private answered(answer: LeaseRenewalAnswer, askedAt: number): boolean {
    this.answeredAt = this.clock.now();
    this.refusedConnections = 0;
    if (answer.kind === 'held') {
      this.takeIn(answer.running, askedAt);
      for (const ending of this.endings.takeIn(answer.endings)) {
        this.runs.delete(KeptRun.keyOf(ending.task, ending.run));
        this.log.change('run ended', {...ending, life: this.life});
        this.onChange();
      }
      this.pacer.pace([...this.runs.values()]);
      return true;
    }
    this.log.change('worker refused to be held', {reason: answer.kind});
    if (answer.kind === 'fenced') this.fence.raise();
    if (answer.kind === 'other-life') this.loseRuns('other life');
    return answer.kind === 'fenced';
  }

  private unanswered(error: ChicoryspringError): boolean {
    if (error.kind === 'worker-unreachable') this.refusedConnections += 1;
    if (this.refusedConnections === REFUSALS_OF_THE_DEAD) {
      this.loseRuns('connections refused');
    }
    if (!this.isAnswering) this.onChange();
    return false;
  }

  /** Replaces what is known of the runs by what the worker lists. */
  private takeIn(running: readonly FoundRun[], askedAt: number): void {
    const now = this.clock.now();
    const listed = new Set<string>();
    for (const found of running) {
      const key = KeptRun.keyOf(found.task, found.run);
      listed.add(key);
      const kept = this.runs.get(key) ?? KeptRun.found(found, now);
      this.runs.set(key, kept);
      kept.observe(found, now);
    }
    for (const [key, run] of this.runs) {
      const isMissing = !listed.has(key) && run.isOverWhenMissing(askedAt);
      if (isMissing) this.runs.delete(key);
    }
    this.isListed = true;
    this.onChange();
  }

  /** Time by which the lease may be extended now; undefined for none. */
  private leaseAt(now: number): number | undefined {
    const deadlines = [...this.runs.values()].map(run =>
      this.permissions.deadlineOf(run.task),
    );
    const isAllowed = deadlines.some(deadline => (deadline ?? 0) > now);
    // A silent worker is not held: its lease must run out at some time.
    if (!isAllowed || this.isSilent) return undefined;
    this.stopUnpermitted(now);
    return LEASE_MILLISECONDS;
  }

  /** Stops runs without an owner where others keep the lease alive. */
  private stopUnpermitted(now: number): void {
    for (const run of this.runs.values()) {
      const deadline = this.permissions.deadlineOf(run.task);
      if (deadline !== undefined && deadline <= now) {
        this.stop(run.task, run.run);
      }
    }
  }

  /** Lets go of everything once a silent worker's lease has run out. */
  private dropLapsed(): void {
    const isOver = this.lease.isOver(this.clock.now(), SILENCE_MILLISECONDS);
    if (isOver && !this.isAnswering) this.loseRuns('lease lapsed unseen');
  }

  private loseRuns(reason: string): void {
    if (this.runs.size === 0) return;
    this.log.change('runs lost', {reason, runs: this.runs.size});
    this.runs.clear();
    this.onChange();
  }

  private started(run: KeptRun): void {
    this.lease.extend(this.clock.now(), LEASE_MILLISECONDS);
    if (run.phase === 'starting') run.phase = 'running';
    run.startedAt = this.clock.now();
    this.pacer.begin(run);
    this.onChange();
  }

  private noteRefused(run: KeptRun, reason: string): void {
    this.runs.delete(run.key);
    this.refused.add(run, reason);
    this.onChange();
  }
}
