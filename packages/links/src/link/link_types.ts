import type {LinkMethod} from '../method/link_method_types.js';
import type {LinkTraffic} from './link_traffic_types.js';

/** A connection between two processes of the system. */
export interface Link {
  /** Whether messages can be sent. */
  readonly isOpen: boolean;
  /** Aborts once the link is closed. */
  readonly closed: AbortSignal;
  /**
   * Lower bound, in local milliseconds, of the send time of every message
   * received from now on. At the dialing end it is the time at which the last
   * answered ping was sent, at the accepting end the opening of the link.
   */
  readonly earliestSendTime: number;
  readonly traffic: LinkTraffic;
  /** Calls a method of the peer; waits for the result until the deadline. */
  call<Input, Result>(
    method: LinkMethod<Input, Result>,
    input: Input,
    deadline: number,
  ): Promise<Result>;
  /** Sends a notification, which has no response; drops it if not open. */
  notify<Input>(method: LinkMethod<Input, unknown>, input: Input): void;
  close(): void;
}
