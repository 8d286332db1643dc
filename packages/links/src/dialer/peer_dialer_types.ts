import type {Link} from '../link/link_types.js';
import type {LinkTraffic} from '../link/link_traffic_types.js';

/** Keeps one link to a peer open, and connects again whenever it is lost. */
export interface PeerDialer {
  /** The open link; undefined while there is none. */
  readonly link: Link | undefined;
  /** Traffic of the current link and all previous ones. */
  readonly traffic: LinkTraffic;
  /** The background loop; a failed `onConnect` closes the link. */
  run(onConnect: (link: Link) => Promise<void>): Promise<void>;
  /** Ends the background loop and closes the link. */
  stop(): void;
}
