import type {
  InterferenceObservation,
  PlacementPolicy,
} from '@chicoryspring/workers';
import {
  ClassUsageTracker,
  DecayingInterferenceLearner,
  TaskSpread,
  InMemoryWorkerIndex,
  serviceClassOf,
} from '@chicoryspring/workers';
import type {ClassLoad} from '@chicoryspring/contracts';
import {HiddenPairTable} from '../interference/hidden_pair_table.js';
import {FakeTaskSource} from './fake_task_source.js';
import type {FakeTask} from './fake_task_types.js';
import {FakeFleetWorker} from './fake_fleet_worker.js';
import type {PlacementSite} from './placement_site_types.js';

const SERVICE = 'records';
const WORKERS_PER_RACK = 3;
const REPORT_LAG_MILLISECONDS = 8_000;
/** Tasks that may wait; more are not submitted. */
const LONGEST_QUEUE = 10;
const NOTHING: ReadonlySet<string> = new Set();

interface LateReport {
  readonly arrivesAt: number;
  readonly classes: readonly ClassLoad[];
  readonly observations: readonly InterferenceObservation[];
}

/** A small fleet at the interface of the placement policy. */
export class FakeFleet {
  readonly index = new InMemoryWorkerIndex();
  readonly learner = new DecayingInterferenceLearner();
  readonly usage = new ClassUsageTracker();
  readonly spread = new TaskSpread();
  readonly workers: readonly FakeFleetWorker[];
  private queue: readonly FakeTask[] = [];
  private late: readonly LateReport[] = [];

  constructor(private readonly site: PlacementSite) {
    this.workers = Array.from({length: site.workers}, (_, position) =>
      this.createWorker(position),
    );
  }

  static readonly classes: readonly string[] = [
    serviceClassOf(SERVICE),
    ...FakeTaskSource.classes,
  ];

  /** Adds tasks that wait for a place. */
  submit(tasks: readonly FakeTask[]): void {
    const room = LONGEST_QUEUE - this.queue.length;
    this.queue = [...this.queue, ...tasks.slice(0, Math.max(0, room))];
  }

  /** Tasks that wait for a place. */
  get waiting(): number {
    return this.queue.length;
  }

  /** Places what waits, in order, as far as the policy finds room. */
  place(policy: PlacementPolicy, now: number): void {
    this.queue = this.queue.filter(one => !this.tryPlace(policy, one, now));
  }

  /** Runs every worker for a time; returns the work done. */
  run(table: HiddenPairTable, milliseconds: number): number {
    let total = 0;
    for (const worker of this.workers) {
      const {ended, work} = worker.run(table, milliseconds);
      total += work;
      for (const {task} of ended) {
        this.index.recordEnding(worker.announcement.worker, task);
        this.spread.remove(task.id);
      }
    }
    return total;
  }

  /** Measures every worker, and takes in the measurements that have arrived. */
  report(table: HiddenPairTable, now: number): void {
    const fresh = this.workers.map(worker => this.measure(worker, table, now));
    const all = [...this.late, ...fresh];
    this.late = all.filter(one => one.arrivesAt > now);
    const arrived = all.filter(one => one.arrivesAt <= now);
    for (const {classes, observations} of arrived) {
      this.usage.recordLoad(classes);
      for (const one of observations) this.learner.observe(one);
    }
  }

  private tryPlace(
    policy: PlacementPolicy,
    fake: FakeTask,
    now: number,
  ): boolean {
    const {task} = fake;
    const {weights} = this.site;
    const chosen = policy.place(
      {task, weights, now, excludedWorkers: NOTHING, domainsOut: NOTHING},
      this.index,
    );
    if (!chosen) return false;
    const {announcement} = chosen;
    const worker = this.workers.find(
      one => one.announcement.worker === announcement.worker,
    )!;
    worker.start(fake);
    this.index.recordPlacement(announcement.worker, task);
    this.spread.add(task, announcement);
    return true;
  }

  private measure(
    worker: FakeFleetWorker,
    table: HiddenPairTable,
    now: number,
  ): LateReport {
    const classes = worker.measure(table);
    const service: InterferenceObservation = {
      affected: serviceClassOf(SERVICE),
      others: classes,
      slowdown: worker.serviceSlowdown(table),
      measuredAt: now,
    };
    const batch = classes.map(one => ({
      affected: one.taskClass,
      others: classes.map(other =>
        other === one ? {...other, tasks: other.tasks - 1} : other,
      ),
      slowdown: 1 / (one.pace ?? 1),
      measuredAt: now,
    }));
    const arrivesAt = now + REPORT_LAG_MILLISECONDS;
    return {arrivesAt, classes, observations: [service, ...batch]};
  }

  private createWorker(position: number): FakeFleetWorker {
    const {failureDomains, processors, memoryMebibytes} = this.site;
    const announcement = {
      worker: `worker-${position}`,
      failureDomain: `domain-${position % failureDomains}`,
      rack: `rack-${Math.floor(position / WORKERS_PER_RACK)}`,
      capacity: {processors, memoryMebibytes, accelerators: 0},
      service: SERVICE,
      slots: 8,
      running: [],
      draining: false,
    };
    this.index.recordAnnouncement(announcement);
    return new FakeFleetWorker(announcement);
  }
}
