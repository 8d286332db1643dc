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

/** State of one linked agent, as announced and measured by this entry. */
export class AgentPeer {
  private load: WorkerLoad;
  private requestsInFlight = 0;
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
    const hasOtherSlots = announcement.slots !== this.announced.slots;
    this.announced = announcement;
    if (hasOtherSlots)
      this.limit = new GradientConcurrencyLimit(announcement.slots);
  }

  recordLoad(load: WorkerLoad): void {
    this.load = load;
  }

  requestSent(): void {
    this.requestsInFlight += 1;
  }

  /**
   * Records that a request ended without an answer of the target.
   *
   * The latency counts as that of a slow answer, so that a target that fails
   * quickly is not preferred. The target is used again once the failure is no
   * longer recent.
   */
  requestFailed(latencyMilliseconds: number, now: number): void {
    this.requestsInFlight -= 1;
    this.limit.recordDrop();
    this.latency.record(latencyMilliseconds, now);
  }

  /** Records the load and latency of the target that an answer shows. */
  requestAnswered(
    requestsInFlight: number,
    latencyMilliseconds: number,
    now: number,
  ): void {
    this.limit.recordAnswer(latencyMilliseconds, this.requestsInFlight);
    this.requestsInFlight -= 1;
    this.load = {...this.load, requestsInFlight};
    this.latency.record(latencyMilliseconds, now);
  }

  /** The target of the agent; undefined when it has none or is draining. */
  targetAt(now: number): Target | undefined {
    const {worker, service, failureDomain, slots, draining} = this.announced;
    if (service === undefined || draining || !this.link.isOpen)
      return undefined;
    return {
      worker,
      service,
      failureDomain,
      slots,
      requestsInFlight: this.requestsInFlight,
      reportedInFlight: this.load.requestsInFlight,
      tailMilliseconds: this.load.tailMilliseconds,
      concurrencyLimit: this.limit.limit,
      latencyMilliseconds: this.latency.latencyAt(now),
    };
  }
}
