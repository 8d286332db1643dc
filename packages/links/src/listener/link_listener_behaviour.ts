import {timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {WebSocketServer, type WebSocket} from 'ws';
import type {Clock} from '@chicoryspring/contracts';
import {WebSocketLink} from '../link/web_socket_link_behaviour.js';
import type {LinkMethodRegistry} from '../method/link_method_registry.js';

/** Longest message that a link accepts. */
const LONGEST_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Path of links on the server of a process. */
const LINK_PATH = '/links';

/** Accepts links of peers that show the key of the fleet. */
export class LinkListener {
  private readonly acceptor = new WebSocketServer({
    noServer: true,
    maxPayload: LONGEST_MESSAGE_BYTES,
  });
  private readonly links = new Set<WebSocketLink>();

  constructor(
    private readonly registry: LinkMethodRegistry,
    private readonly clock: Clock,
    private readonly linkKey: string,
  ) {}

  /** Takes over the upgrade requests of an HTTP server. */
  attach(server: Server): void {
    server.on('upgrade', (request, socket, head) => {
      if (!this.isAllowed(request)) {
        socket.end('HTTP/1.1 401 Unauthorized\r\n\r\n');
        return;
      }
      this.upgrade(request, socket, head);
    });
  }

  /** Closes every accepted link. */
  close(): void {
    for (const link of this.links) link.close();
  }

  private upgrade(
    request: IncomingMessage,
    socket: Duplex,
    head: Buffer,
  ): void {
    this.acceptor.handleUpgrade(request, socket, head, accepted => {
      void this.serve(accepted);
    });
  }

  private async serve(accepted: WebSocket): Promise<void> {
    const link = new WebSocketLink(accepted, this.registry, this.clock);
    this.links.add(link);
    await link.run();
    this.links.delete(link);
  }

  private isAllowed(request: IncomingMessage): boolean {
    if (request.url !== LINK_PATH) return false;
    const shown = Buffer.from(request.headers.authorization ?? '');
    const expected = Buffer.from(`Bearer ${this.linkKey}`);
    return shown.length === expected.length && timingSafeEqual(shown, expected);
  }
}
