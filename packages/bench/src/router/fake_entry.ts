import {
  LatencyTracker,
  type RoutingPolicy,
  type Target,
} from '@chicoryspring/targets';
import type {FakeTarget} from './fake_target.js';
import {VirtualQueue} from './virtual_queue.js';

interface Pending {
  readonly worker: string;
  readonly latency: number;
  /** When the entry sees the answer. */
  readonly instant: number;
  readonly reportedInFlight: number;
}

interface Route {
  readonly target: FakeTarget;
  readonly isLocal: boolean;
}

/** What one entry knows of fake targets; answers arrive in virtual time. */
export class FakeEntry {
  private readonly trackers = new Map<string, LatencyTracker>();
  private readonly reported = new Map<string, number>();
  private readonly inFlight = new Map<string, number>();
  private readonly pending = new VirtualQueue<Pending>();

  constructor(
    private readonly failureDomain: string,
    private readonly policy: RoutingPolicy,
  ) {}

  /** The target that the policy chooses with what is known at an instant. */
  route(targets: readonly FakeTarget[], now: number): Route {
    this.settle(now);
    const known = targets.map(target => this.describe(target, now));
    const chosen = this.policy.choose(known, this.failureDomain)!;
    const target = targets.find(one => one.worker === chosen.worker)!;
    return {target, isLocal: chosen.failureDomain === this.failureDomain};
  }

  /** Remembers an answer that this entry will see later. */
  expect(answer: Pending): void {
    this.pending.add(answer);
    this.count(answer.worker, 1);
  }

  private settle(now: number): void {
    for (const answer of this.pending.takeUntil(now)) {
      const {worker, latency, instant, reportedInFlight} = answer;
      this.count(worker, -1);
      this.trackerOf(worker).record(latency, instant);
      this.reported.set(worker, reportedInFlight);
    }
  }

  private count(worker: string, change: number): void {
    this.inFlight.set(worker, (this.inFlight.get(worker) ?? 0) + change);
  }

  private describe(target: FakeTarget, now: number): Target {
    const {worker, failureDomain, slots} = target;
    return {
      worker,
      failureDomain,
      slots,
      service: 'records',
      requestsInFlight: this.inFlight.get(worker) ?? 0,
      reportedInFlight: this.reported.get(worker) ?? 0,
      tailMilliseconds: 0,
      concurrencyLimit: Infinity,
      latencyMilliseconds: this.trackerOf(worker).latencyAt(now),
    };
  }

  private trackerOf(worker: string): LatencyTracker {
    const known = this.trackers.get(worker);
    if (known) return known;
    const tracker = new LatencyTracker();
    this.trackers.set(worker, tracker);
    return tracker;
  }
}
