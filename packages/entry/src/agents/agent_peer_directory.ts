import type {WorkerAnnouncement, WorkerLoad} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import type {Target} from '@chicoryspring/targets';
import {InMemoryWorkerIndex, type Worker} from '@chicoryspring/workers';
import {AgentPeer} from './agent_peer.js';

/** The agents that are linked to this entry, by worker. */
export class AgentPeerDirectory {
  /** The workers of the agents, by free capacity. */
  readonly workerIndex = new InMemoryWorkerIndex();
  private readonly peers = new Map<string, AgentPeer>();

  constructor(private readonly onChange: () => void) {}

  /** Records an announcement; the agent is removed when its link closes. */
  recordAnnouncement(announcement: WorkerAnnouncement, link: Link): void {
    const {worker} = announcement;
    const known = this.peers.get(worker);
    if (known?.link === link) known.recordAnnouncement(announcement);
    else this.add(new AgentPeer(link, announcement));
    this.workerIndex.recordAnnouncement(announcement);
    this.onChange();
  }

  recordLoad(worker: string, load: WorkerLoad): void {
    this.peers.get(worker)?.recordLoad(load);
    this.workerIndex.recordLoad(worker, load);
    this.onChange();
  }

  get(worker: string): AgentPeer | undefined {
    return this.peers.get(worker);
  }

  get all(): readonly AgentPeer[] {
    return [...this.peers.values()];
  }

  get workers(): readonly Worker[] {
    return this.workerIndex.all;
  }

  /** The targets of a service outside the given failure domains. */
  targets(
    service: string,
    domainsOut: readonly string[],
    now: number,
  ): readonly Target[] {
    return this.all.flatMap(peer => {
      const target = peer.targetAt(now);
      if (target?.service !== service) return [];
      return domainsOut.includes(target.failureDomain) ? [] : [target];
    });
  }

  private add(peer: AgentPeer): void {
    const {worker} = peer.announcement;
    this.peers.set(worker, peer);
    peer.link.closed.addEventListener('abort', () => {
      if (this.peers.get(worker) === peer) this.remove(worker);
      this.onChange();
    });
  }

  private remove(worker: string): void {
    this.peers.delete(worker);
    this.workerIndex.remove(worker);
  }
}
