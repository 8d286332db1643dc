import type {ServiceRequest} from '@chicoryspring/contracts';
import type {AgentPeer} from '../agents/agent_peer.js';

/** A request that waits for a target with free capacity. */
export interface WaitingRequest {
  readonly caller: string;
  readonly request: ServiceRequest;
  /** Workers whose targets it was sent to before. */
  readonly tried: ReadonlySet<string>;
  readonly admit: (peer: AgentPeer) => void;
  readonly reject: (reason: Error) => void;
}
