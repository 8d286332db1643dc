import {once} from 'node:events';
import type {IncomingMessage} from 'node:http';
import {WebSocket} from 'ws';
import type {Clock} from '@chicoryspring/contracts';
import {MAX_MESSAGE_BYTES} from '../link/max_message_bytes.js';
import {sumTraffic} from '../link/link_traffic_sum.js';
import type {LinkTraffic} from '../link/link_traffic_types.js';
import type {Link} from '../link/link_types.js';
import {DialerLinkLiveness} from '../link/dialer_link_liveness.js';
import {WebSocketLink} from '../link/web_socket_link.js';
import type {LinkMethodRegistry} from '../method/link_method_registry.js';
import type {PeerDialer} from './peer_dialer_types.js';

/** Delay before the first attempt to connect again. */
const INITIAL_DELAY_MILLISECONDS = 50;
/** Maximum delay between attempts to connect. */
const MAX_DELAY_MILLISECONDS = 2_000;
const DEFAULT_PING_INTERVAL_MILLISECONDS = 1_000;
/** Time that the peer has to complete the WebSocket handshake. */
const HANDSHAKE_TIMEOUT_MILLISECONDS = 2_000;

/** Maintains one link to a peer and reconnects whenever it is lost. */
export class LinkDialer implements PeerDialer {
  private readonly stopping = new AbortController();
  private current: WebSocketLink | undefined;
  private previousTraffic: LinkTraffic = sumTraffic([]);

  constructor(
    private readonly url: string,
    private readonly registry: LinkMethodRegistry,
    private readonly clock: Clock,
    private readonly linkKey: string,
    private readonly pingIntervalMilliseconds = DEFAULT_PING_INTERVAL_MILLISECONDS,
  ) {}

  /** The open link, or undefined while there is none. */
  get link(): Link | undefined {
    return this.current?.isOpen ? this.current : undefined;
  }

  /** Traffic of the current link and all previous ones of this dialer. */
  get traffic(): LinkTraffic {
    const {previousTraffic, current} = this;
    return current
      ? sumTraffic([previousTraffic, current.traffic])
      : previousTraffic;
  }

  /**
   * The background loop of this peer: connects, calls `onConnect`, and starts
   * over when the link is lost. A failed `onConnect` closes the link.
   */
  async run(onConnect: (link: Link) => Promise<void>): Promise<void> {
    let attempt = 0;
    while (!this.stopping.signal.aborted) {
      const link = await this.connect();
      if (link) {
        attempt = 0;
        await this.runLink(link, onConnect);
      }
      await this.waitForRetry(attempt);
      attempt += 1;
    }
  }

  /** Ends the background loop and closes the link. */
  stop(): void {
    this.stopping.abort();
    this.current?.close();
  }

  private async runLink(
    link: WebSocketLink,
    onConnect: (link: Link) => Promise<void>,
  ): Promise<void> {
    this.current = link;
    const ended = link.run();
    await onConnect(link).catch(() => link.close());
    await ended;
    this.previousTraffic = this.traffic;
    this.current = undefined;
  }

  private async connect(): Promise<WebSocketLink | undefined> {
    const openedAfter = this.clock.now();
    const socket = this.createSocket();
    if (!socket) return undefined;
    try {
      const {signal} = this.stopping;
      const [[upgrade]] = await Promise.all([
        once(socket, 'upgrade', {signal}),
        once(socket, 'open', {signal}),
      ]);
      const transport = (upgrade as IncomingMessage).socket;
      const {registry, clock, pingIntervalMilliseconds} = this;
      const liveness = new DialerLinkLiveness(
        socket,
        clock,
        openedAfter,
        pingIntervalMilliseconds,
      );
      return new WebSocketLink(socket, transport, registry, clock, liveness);
    } catch {
      socket.terminate();
      return undefined;
    }
  }

  /** A socket that connects; undefined for a URL that can't be dialled. */
  private createSocket(): WebSocket | undefined {
    try {
      const socket = new WebSocket(`${this.url}/links`, {
        headers: {authorization: `Bearer ${this.linkKey}`},
        handshakeTimeout: HANDSHAKE_TIMEOUT_MILLISECONDS,
        maxPayload: MAX_MESSAGE_BYTES,
        perMessageDeflate: false,
      });
      socket.on('error', () => undefined);
      return socket;
    } catch {
      return undefined;
    }
  }

  private async waitForRetry(attempt: number): Promise<void> {
    const limit = Math.min(
      MAX_DELAY_MILLISECONDS,
      INITIAL_DELAY_MILLISECONDS * 2 ** attempt,
    );
    const delay = limit * (0.5 + Math.random() / 2);
    await this.clock.sleepUntil(this.clock.now() + delay, this.stopping.signal);
  }
}
