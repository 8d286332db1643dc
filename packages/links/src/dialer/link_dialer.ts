import {once} from 'node:events';
import type {IncomingMessage} from 'node:http';
import {WebSocket} from 'ws';
import type {Clock} from '@chicoryspring/contracts';
import {LONGEST_MESSAGE_BYTES} from '../link/longest_message.js';
import {sumTraffic} from '../link/link_traffic_sum.js';
import type {LinkTraffic} from '../link/link_traffic_types.js';
import type {Link} from '../link/link_types.js';
import {PingingLinkLiveness} from '../link/pinging_link_liveness.js';
import {WebSocketLink} from '../link/web_socket_link.js';
import type {LinkMethodRegistry} from '../method/link_method_registry.js';

/** Delay before the first attempt to connect again. */
const FIRST_DELAY_MILLISECONDS = 50;
/** Maximum delay between attempts to connect. */
const LONGEST_DELAY_MILLISECONDS = 2_000;
const PING_MILLISECONDS = 1_000;
/** Time that the peer has to complete the WebSocket handshake. */
const HANDSHAKE_MILLISECONDS = 2_000;

/** Maintains one link to a peer and reconnects whenever it is lost. */
export class LinkDialer {
  private readonly stopping = new AbortController();
  private current: WebSocketLink | undefined;
  private past: LinkTraffic = sumTraffic([]);

  constructor(
    private readonly url: string,
    private readonly registry: LinkMethodRegistry,
    private readonly clock: Clock,
    private readonly linkKey: string,
    private readonly pingMilliseconds = PING_MILLISECONDS,
  ) {}

  /** The open link, or undefined while there is none. */
  get link(): Link | undefined {
    return this.current?.isOpen ? this.current : undefined;
  }

  /** Traffic of the current link and all previous ones of this dialer. */
  get traffic(): LinkTraffic {
    const {past, current} = this;
    return current ? sumTraffic([past, current.traffic]) : past;
  }

  /**
   * The background loop of this peer: connects, calls `onConnect`, and starts
   * over when the link is lost. A failed `onConnect` closes the link.
   */
  async run(greet: (link: Link) => Promise<void>): Promise<void> {
    let attempt = 0;
    while (!this.stopping.signal.aborted) {
      const link = await this.dial();
      if (link) {
        attempt = 0;
        await this.keep(link, greet);
      }
      await this.backOff(attempt);
      attempt += 1;
    }
  }

  /** Ends the background loop and closes the link. */
  stop(): void {
    this.stopping.abort();
    this.current?.close();
  }

  private async keep(
    link: WebSocketLink,
    greet: (link: Link) => Promise<void>,
  ): Promise<void> {
    this.current = link;
    const ended = link.run();
    await greet(link).catch(() => link.close());
    await ended;
    this.past = this.traffic;
    this.current = undefined;
  }

  private async dial(): Promise<WebSocketLink | undefined> {
    const openedAfter = this.clock.now();
    const socket = new WebSocket(`${this.url}/links`, {
      headers: {authorization: `Bearer ${this.linkKey}`},
      handshakeTimeout: HANDSHAKE_MILLISECONDS,
      maxPayload: LONGEST_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    socket.on('error', () => undefined);
    try {
      const {signal} = this.stopping;
      const [[upgrade]] = await Promise.all([
        once(socket, 'upgrade', {signal}),
        once(socket, 'open', {signal}),
      ]);
      const transport = (upgrade as IncomingMessage).socket;
      const {registry, clock, pingMilliseconds} = this;
      const liveness = new PingingLinkLiveness(
        socket,
        clock,
        openedAfter,
        pingMilliseconds,
      );
      return new WebSocketLink(socket, transport, registry, clock, liveness);
    } catch {
      socket.terminate();
      return undefined;
    }
  }

  private async backOff(attempt: number): Promise<void> {
    const limit = Math.min(
      LONGEST_DELAY_MILLISECONDS,
      FIRST_DELAY_MILLISECONDS * 2 ** attempt,
    );
    const delay = limit * (0.5 + Math.random() / 2);
    await this.clock.sleepUntil(this.clock.now() + delay, this.stopping.signal);
  }
}
