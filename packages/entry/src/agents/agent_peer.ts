import {
  ResourcesArithmetic,
  type WorkerAnnouncement,
  type WorkerLoad,
} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import {
  GradientConcurrencyLimit,
  LatencyTracker,
  type ConcurrencyLimit,
  type Target,
} from '@chicoryspring/targets';

/** One linked agent as this entry knows it. */
export class AgentPeer {
  private load: WorkerLoad;
  private sent = 0;
  private readonly latency = new LatencyTracker();
  private limit: ConcurrencyLimit;

  constructor(
    readonly link: Link,
    private announced: WorkerAnnouncement,
  ) {
    this.limit = new GradientConcurrencyLimit(announced.slots);
    this.load = {
      free: announced.capacity,
      requestsInFlight: 0,
      tailMilliseconds: 0,
      measured: ResourcesArithmetic.none,
    };
  }

  get announcement(): WorkerAnnouncement {
    return this.announced;
  }

  recordAnnouncement(announcement: WorkerAnnouncement): void {
    const isOther = announcement.slots !== this.announced.slots;
    this.announced = announcement;
    if (isOther) this.limit = new GradientConcurrencyLimit(announcement.slots);
  }

  recordLoad(load: WorkerLoad): void {
    this.load = load;
  }

  requestSent(): void {
    this.sent += 1;
  }

  /**
   * Takes in that a request ended without an answer of the target.
   *
   * It weighs as a slow answer, so that a target which fails quickly is not
   * preferred, and is asked again once this is no longer recent.
   */
  requestFailed(latencyMilliseconds: number, now: number): void {
    this.sent -= 1;
    this.limit.recordDrop();
    this.latency.record(latencyMilliseconds, now);
  }

  /** Takes in what an answer said of the target. */
  requestAnswered(
    requestsInFlight: number,
    latencyMilliseconds: number,
    now: number,
  ): void {
    this.limit.recordAnswer(latencyMilliseconds, this.sent);
    this.sent -= 1;
    this.load = {...this.load, requestsInFlight};
    this.latency.record(latencyMilliseconds, now);
  }

  /** The target of the agent; undefined when it has none that serves. */
  targetAt(now: number): Target | undefined {
    const {worker, service, failureDomain, slots, draining} = this.announced;
    if (service === undefined || draining || !this.link.isOpen)
      return undefined;
    return {
      worker,
      service,
      failureDomain,
      slots,
      requestsInFlight: this.sent,
      reportedInFlight: this.load.requestsInFlight,
      tailMilliseconds: this.load.tailMilliseconds,
      concurrencyLimit: this.limit.limit,
      latencyMilliseconds: this.latency.latencyAt(now),
    };
  }
}
