import type {
  Resources,
  Task,
  WorkerAnnouncement,
  WorkerLoad,
} from '@chicoryspring/contracts';
import {WorkerUpdates} from '../worker/worker_updates.js';
import type {Worker} from '../worker/worker_types.js';
import {FreeCapacityIndex} from './free_capacity_index.js';
import {JoinedCandidates} from './joined_candidates.js';
import type {WorkerCandidates} from './worker_candidates_types.js';
import type {WorkerIndex} from './worker_index_types.js';

/** Workers of one failure domain, split by whether an accelerator is free. */
interface DomainWorkers {
  readonly withoutAccelerator: FreeCapacityIndex;
  readonly withAccelerator: FreeCapacityIndex;
}

/**
 * The workers known to an entry, updated by announcements and load reports.
 *
 * Only linked workers that are not draining are candidates. `get`, `at` and
 * `all` return the others too.
 */
export class InMemoryWorkerIndex implements WorkerIndex {
  private readonly workers = new Map<string, Worker>();
  private readonly domains = new Map<string, DomainWorkers>();
  private names: readonly string[] = [];

  get failureDomains(): readonly string[] {
    return [...this.domains.keys()];
  }

  get size(): number {
    return this.names.length;
  }

  get all(): readonly Worker[] {
    return [...this.workers.values()];
  }

  get(name: string): Worker | undefined {
    return this.workers.get(name);
  }

  at(position: number): Worker {
    return this.workers.get(this.names[position]!)!;
  }

  candidates(
    demand: Resources,
    domainsOut: ReadonlySet<string>,
  ): WorkerCandidates {
    const needsAccelerator = demand.accelerators > 0;
    const indexes: FreeCapacityIndex[] = [];
    for (const [failureDomain, domain] of this.domains) {
      if (domainsOut.has(failureDomain)) continue;
      if (!needsAccelerator) indexes.push(domain.withoutAccelerator);
      indexes.push(domain.withAccelerator);
    }
    return new JoinedCandidates(indexes, demand.processors);
  }

  /** Adds a worker, or applies its newer announcement. */
  recordAnnouncement(announcement: WorkerAnnouncement): void {
    const known = this.workers.get(announcement.worker);
    this.put(WorkerUpdates.fromAnnouncement(announcement, known));
  }

  /** Applies a load report; ignored for a worker without an announcement. */
  recordLoad(name: string, load: WorkerLoad): void {
    const known = this.workers.get(name);
    if (known) this.put(WorkerUpdates.withLoad(known, load));
  }

  /** Counts a placed task until the worker's next load report. */
  recordPlacement(name: string, task: Task): void {
    const known = this.workers.get(name);
    if (known) this.put(WorkerUpdates.withPlacement(known, task));
  }

  /** Subtracts an ended task until the worker's next load report. */
  recordEnding(name: string, task: Task): void {
    const known = this.workers.get(name);
    if (known) this.put(WorkerUpdates.withEnding(known, task));
  }

  /** Removes a worker whose agent is no longer linked. */
  remove(name: string): void {
    const known = this.workers.get(name);
    if (!known) return;
    this.workers.delete(name);
    this.names = this.names.filter(other => other !== name);
    this.removeCandidate(known);
  }

  private put(worker: Worker): void {
    const {announcement, load} = worker;
    const known = this.workers.get(announcement.worker);
    const domain = this.domainOf(announcement.failureDomain);
    const hasFreeAccelerator = load.free.accelerators > 0;
    const index = hasFreeAccelerator
      ? domain.withAccelerator
      : domain.withoutAccelerator;
    const other = hasFreeAccelerator
      ? domain.withoutAccelerator
      : domain.withAccelerator;
    const isSchedulable = worker.isLinked && !announcement.draining;
    if (known && hasChangedDomain(known, worker)) this.removeCandidate(known);
    other.remove(announcement.worker);
    if (isSchedulable) index.put(worker);
    else index.remove(announcement.worker);
    this.workers.set(announcement.worker, worker);
    if (!known) this.names = [...this.names, announcement.worker];
  }

  private removeCandidate({announcement}: Worker): void {
    const domain = this.domainOf(announcement.failureDomain);
    domain.withoutAccelerator.remove(announcement.worker);
    domain.withAccelerator.remove(announcement.worker);
  }

  private domainOf(failureDomain: string): DomainWorkers {
    const known = this.domains.get(failureDomain);
    if (known) return known;
    const domain = {
      withoutAccelerator: new FreeCapacityIndex(),
      withAccelerator: new FreeCapacityIndex(),
    };
    this.domains.set(failureDomain, domain);
    return domain;
  }
}

function hasChangedDomain(before: Worker, after: Worker): boolean {
  const {failureDomain} = before.announcement;
  return failureDomain !== after.announcement.failureDomain;
}
