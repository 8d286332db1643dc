import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** Channel on which undici reports each request that it sends. */
const SENT_CHANNEL = 'undici:client:sendHeaders';

/**
 * An HTTP server in this process, whose connections fail at the client once it
 * has received a request, with an error code that connection attempts have too.
 *
 * The kernel reports such a code when it has given the retransmission up and the
 * last thing that it heard of the path was that it is rejected.
 */
export class InterruptedServer {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private received = 0;

  private constructor(private readonly code: string) {
    this.server = createServer((request, response) => {
      request.resume();
      request.on('end', () => this.interrupt());
      response.on('error', () => undefined);
    });
    subscribe(SENT_CHANNEL, this.recordSocket);
  }

  /** Listens on a free port. */
  static async listen(code: string): Promise<InterruptedServer> {
    const interrupted = new InterruptedServer(code);
    interrupted.server.listen(0, '127.0.0.1');
    await once(interrupted.server, 'listening');
    return interrupted;
  }

  get url(): string {
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  /** Number of requests that arrived whole. */
  get requestCount(): number {
    return this.received;
  }

  /** Closes the server, after which connections to its URL are refused. */
  async close(): Promise<void> {
    unsubscribe(SENT_CHANNEL, this.recordSocket);
    this.server.closeAllConnections();
    this.server.close();
    await once(this.server, 'close');
  }

  private readonly recordSocket = (message: unknown): void => {
    this.sockets.add((message as {readonly socket: Socket}).socket);
  };

  private interrupt(): void {
    this.received += 1;
    const {code} = this;
    const syscall = 'read';
    for (const socket of this.sockets) {
      const error = new Error(`${syscall} ${code}`);
      socket.destroy(Object.assign(error, {code, syscall}));
    }
    this.sockets.clear();
  }
}
