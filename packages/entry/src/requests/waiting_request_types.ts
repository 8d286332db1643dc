import type {ServiceRequest} from '@chicoryspring/contracts';
import type {AgentPeerStore} from '../agents/agent_peer_store.js';

/** A request that waits for a target with room. */
export interface WaitingRequest {
  readonly caller: string;
  readonly request: ServiceRequest;
  /** Workers whose targets it was tried at. */
  readonly tried: ReadonlySet<string>;
  readonly admit: (peer: AgentPeerStore) => void;
  readonly refuse: (reason: Error) => void;
}
