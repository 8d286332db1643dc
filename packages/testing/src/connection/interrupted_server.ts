import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** Channel on which undici reports each request that it sends. */
const SENT_CHANNEL = 'undici:client:sendHeaders';

/**
 * An HTTP server in this process, whose connections fail at the client once it
 * has received a request, with an error code that connection attempts have too.
 * It may answer some requests first.
 *
 * The kernel reports such a code when it has given the retransmission up and the
 * last thing that it heard of the path was that it is rejected.
 */
export class InterruptedServer {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private received = 0;

  private constructor(
    private readonly code: string,
    private readonly firstAnswers: readonly string[],
  ) {
    this.server = createServer((request, response) => {
      request.resume();
      request.on('end', () => this.answer(response));
      response.on('error', () => undefined);
    });
    subscribe(SENT_CHANNEL, this.recordSocket);
  }

  /**
   * Listens on a free port. The first requests get these answers; the connections
   * of all later ones fail.
   */
  static async listen(
    code: string,
    firstAnswers: readonly string[] = [],
  ): Promise<InterruptedServer> {
    const interrupted = new InterruptedServer(code, firstAnswers);
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

  private answer(response: ServerResponse): void {
    const answer = this.firstAnswers[this.received];
    this.received += 1;
    if (answer === undefined) this.interrupt();
    else response.end(answer);
  }

  private interrupt(): void {
    const {code} = this;
    const syscall = 'read';
    for (const socket of this.sockets) {
      const error = new Error(`${syscall} ${code}`);
      socket.destroy(Object.assign(error, {code, syscall}));
    }
    this.sockets.clear();
  }
}
