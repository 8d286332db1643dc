import type {LinkMethod} from '../method/link_method_types.js';
import type {LinkTraffic} from './link_traffic_types.js';

/** A connection between two processes of the system. */
export interface Link {
  /** Whether a message sent now can reach the peer. */
  readonly isOpen: boolean;
  /** Aborts once the link is closed. */
  readonly closed: AbortSignal;
  /**
   * Local instant in milliseconds before which no message was sent that is
   * received from now on: when the last answered ping was sent.
   */
  readonly earliestSendTime: number;
  readonly traffic: LinkTraffic;
  /** Calls a method of the peer and waits for its result until the deadline. */
  call<Input, Result>(
    method: LinkMethod<Input, Result>,
    input: Input,
    deadline: number,
  ): Promise<Result>;
  /** Sends a message that has no answer. */
  notify<Input>(method: LinkMethod<Input, unknown>, input: Input): void;
  close(): void;
}
