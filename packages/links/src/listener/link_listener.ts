import {timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';
import {WebSocketServer} from 'ws';
import type {Clock} from '@chicoryspring/contracts';
import type {LinkTraffic} from '../link/link_traffic_types.js';
import {MAX_MESSAGE_BYTES} from '../link/max_message_bytes.js';
import {sumTraffic} from '../link/link_traffic_sum.js';
import {AcceptorLinkLiveness} from '../link/acceptor_link_liveness.js';
import {WebSocketLink} from '../link/web_socket_link.js';
import type {LinkMethodRegistry} from '../method/link_method_registry.js';

/** HTTP path at which a process accepts links. */
const LINK_PATH = '/links';

/** Accepts links of peers that present the link key of the fleet. */
export class LinkListener {
  private readonly webSocketServer = new WebSocketServer({
    noServer: true,
    maxPayload: MAX_MESSAGE_BYTES,
  });
  private readonly links = new Set<WebSocketLink>();

  constructor(
    private readonly registry: LinkMethodRegistry,
    private readonly clock: Clock,
    private readonly linkKey: string,
  ) {}

  /** Handles the upgrade requests of an HTTP server. */
  attach(server: Server): void {
    server.on('upgrade', (request, upgraded, head) => {
      const socket = upgraded as Socket;
      // The HTTP server no longer listens for the errors of this socket.
      socket.on('error', () => socket.destroy());
      if (!this.isAuthorized(request)) {
        socket.end('HTTP/1.1 401 Unauthorized\r\n\r\n');
        // A peer that does not close its end would keep the descriptor.
        socket.destroySoon();
        return;
      }
      this.upgrade(request, socket, head);
    });
  }

  /** Traffic of the open accepted links. */
  get traffic(): LinkTraffic {
    return sumTraffic([...this.links].map(link => link.traffic));
  }

  /** Closes every accepted link. */
  close(): void {
    for (const link of this.links) link.close();
  }

  private upgrade(
    request: IncomingMessage,
    socket: Socket,
    head: Buffer,
  ): void {
    const openedAfter = this.clock.now();
    this.webSocketServer.handleUpgrade(request, socket, head, accepted => {
      const {registry, clock} = this;
      void this.runLink(
        new WebSocketLink(
          accepted,
          socket,
          registry,
          clock,
          new AcceptorLinkLiveness(accepted, clock, openedAfter),
        ),
      );
    });
  }

  private async runLink(link: WebSocketLink): Promise<void> {
    this.links.add(link);
    await link.run();
    this.links.delete(link);
  }

  private isAuthorized(request: IncomingMessage): boolean {
    if (request.url !== LINK_PATH) return false;
    const presented = Buffer.from(request.headers.authorization ?? '');
    const expected = Buffer.from(`Bearer ${this.linkKey}`);
    return (
      presented.length === expected.length &&
      timingSafeEqual(presented, expected)
    );
  }
}
