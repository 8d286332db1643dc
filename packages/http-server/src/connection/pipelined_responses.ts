import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Responses that are not sent yet, by the connections that they go to.
 *
 * A client may send further requests before it has its first answer. Node.js tells
 * only the first response of a connection that it has closed; this tells the others.
 */
export class PipelinedResponses {
  private readonly unsent = new Map<Socket, Set<ServerResponse>>();
  private readonly closed = new WeakMap<ServerResponse, Promise<void>>();

  constructor(private readonly limit: number) {}

  /**
   * Takes in the response to a request that has just arrived; false if its
   * connection has as many as it may, or is closed.
   */
  add(response: ServerResponse, socket: Socket): boolean {
    if (socket.destroyed) return false;
    const unsent = this.unsent.get(socket) ?? this.watch(socket);
    if (unsent.size >= this.limit) return false;
    unsent.add(response);
    const closed = new Promise<void>(resolve => {
      response.once('close', () => {
        unsent.delete(response);
        resolve();
      });
    });
    this.closed.set(response, closed);
    return true;
  }

  /** Resolves once the response is sent, or its connection has closed. */
  async whenClosed(response: ServerResponse): Promise<void> {
    await this.closed.get(response);
  }

  private watch(socket: Socket): Set<ServerResponse> {
    const unsent = new Set<ServerResponse>();
    this.unsent.set(socket, unsent);
    socket.once('close', () => {
      this.unsent.delete(socket);
      for (const response of unsent) {
        response.destroy();
        response.emit('close');
      }
    });
    return unsent;
  }
}
