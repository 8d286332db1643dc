import {
  ChicoryspringError,
  type Clock,
  type ServiceRequest,
} from '@chicoryspring/contracts';
import {FairQueue} from '@chicoryspring/callers';
import type {
  AdmissionPolicy,
  RoutingPolicy,
  Target,
} from '@chicoryspring/targets';
import type {AgentPeerDirectory} from '../agents/agent_peer_directory.js';
import type {AgentPeer} from '../agents/agent_peer.js';
import type {WaitingRequest} from './waiting_request_types.js';

/** Maximum number of requests of one service in the queue of this entry. */
const MAX_WAITING_REQUESTS = 1_024;

/**
 * Admits requests to targets with free capacity, and queues them until there
 * is one.
 *
 * A request that cannot finish before its deadline, or that a full queue
 * sheds, is rejected before it is sent, so its outcome is certainly `not-run`.
 */
export class RequestAdmission {
  private readonly queues = new Map<string, FairQueue<WaitingRequest>>();

  constructor(
    private readonly agents: AgentPeerDirectory,
    private readonly routing: RoutingPolicy,
    private readonly admission: AdmissionPolicy,
    private readonly clock: Clock,
    private readonly failureDomain: string,
    private readonly domainsOut: () => readonly string[],
  ) {}

  /**
   * Chooses a target and counts the request as in flight there.
   *
   * Throws `no-target`, `overloaded` or `deadline-passed`.
   */
  async admit(
    request: ServiceRequest,
    tried: ReadonlySet<string>,
  ): Promise<AgentPeer> {
    const queue = this.queueOf(request.service);
    const targets = this.candidates(request.service, tried);
    if (targets.length === 0) {
      const message = `no target of ${request.service}`;
      throw new ChicoryspringError('no-target', message);
    }
    const peer = queue.size === 0 ? this.chooseTarget(targets) : undefined;
    if (peer) return reserve(peer);
    const remaining = request.deadline - this.clock.now();
    if (!this.admission.canFinish(targets, queue.size, remaining)) {
      const message = 'the request cannot finish before its deadline';
      throw new ChicoryspringError('overloaded', message);
    }
    return await this.waitForTarget(queue, request, tried);
  }

  /** Whether there is a target that the request has not been sent to. */
  hasUntried(service: string, tried: ReadonlySet<string>): boolean {
    return this.candidates(service, tried).length > 0;
  }

  /** Dispatches queued requests to targets with free capacity. */
  dispatchWaiting(): void {
    for (const [service, queue] of this.queues) {
      if (queue.size > 0) this.dispatchQueue(service, queue);
    }
  }

  private dispatchQueue(
    service: string,
    queue: FairQueue<WaitingRequest>,
  ): void {
    for (let remaining = queue.size; remaining > 0; remaining -= 1) {
      if (!this.chooseTarget(this.candidates(service, new Set()))) return;
      const waiting = queue.take()!;
      const targets = this.candidates(service, waiting.tried);
      const peer = this.chooseTarget(targets);
      if (peer) waiting.admit(reserve(peer));
      else if (targets.length > 0) queue.add(waiting);
      else
        waiting.reject(
          new ChicoryspringError('no-target', 'every target was tried'),
        );
    }
  }

  private async waitForTarget(
    queue: FairQueue<WaitingRequest>,
    request: ServiceRequest,
    tried: ReadonlySet<string>,
  ): Promise<AgentPeer> {
    let cancel = () => {};
    try {
      return await new Promise<AgentPeer>((admit, reject) => {
        const {caller} = request;
        const waiting = {caller, request, tried, admit, reject};
        cancel = this.clock.schedule(request.deadline, () => {
          queue.remove(waiting);
          const message = 'no target had free capacity before the deadline';
          reject(new ChicoryspringError('deadline-passed', message));
        });
        const message = 'the queue of the service is full';
        const shed = queue.add(waiting);
        shed?.reject(new ChicoryspringError('overloaded', message));
      });
    } finally {
      cancel();
    }
  }

  private candidates(
    service: string,
    tried: ReadonlySet<string>,
  ): readonly Target[] {
    return this.agents
      .targets(service, this.domainsOut(), this.clock.now())
      .filter(target => !tried.has(target.worker));
  }

  private chooseTarget(targets: readonly Target[]): AgentPeer | undefined {
    const available = targets.filter(
      target => target.requestsInFlight < target.concurrencyLimit,
    );
    const chosen = this.routing.choose(available, this.failureDomain);
    return chosen && this.agents.get(chosen.worker);
  }

  private queueOf(service: string): FairQueue<WaitingRequest> {
    const known = this.queues.get(service);
    if (known) return known;
    const queue = new FairQueue<WaitingRequest>(MAX_WAITING_REQUESTS);
    this.queues.set(service, queue);
    return queue;
  }
}

/** Counts the request as in flight, so that no other takes its slot. */
function reserve(peer: AgentPeer): AgentPeer {
  peer.requestSent();
  return peer;
}
