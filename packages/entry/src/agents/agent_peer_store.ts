import {
  ResourcesArithmetic,
  type WorkerAnnouncement,
  type WorkerLoad,
} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import type {Target} from '@chicoryspring/targets';

/** One linked agent as this entry knows it. */
export class AgentPeerStore {
  private load: WorkerLoad;
  private sent = 0;

  constructor(
    readonly link: Link,
    private announced: WorkerAnnouncement,
  ) {
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

  announce(announcement: WorkerAnnouncement): void {
    this.announced = announcement;
  }

  report(load: WorkerLoad): void {
    this.load = load;
  }

  requestSent(): void {
    this.sent += 1;
  }

  /** Takes in what an answer, or its failure, said of the target. */
  requestEnded(requestsInFlight?: number): void {
    this.sent -= 1;
    if (requestsInFlight === undefined) return;
    this.load = {...this.load, requestsInFlight};
  }

  /** The target of the agent; undefined when it has none that serves. */
  get target(): Target | undefined {
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
    };
  }
}
