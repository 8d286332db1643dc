import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Wakeup} from '@chicoryspring/contracts';
import type {ConnectionPool} from '../connection/connection_pool.js';

/** Time in which peers close their ends and what they have sent is read. */
const HALF_CLOSED_MILLISECONDS = 100;

/** The open connections of a server, without those that became links. */
export class HttpConnections {
  private readonly open = new Set<Socket>();
  /** Connections whose first request has not arrived yet. */
  private readonly unused = new Set<Socket>();
  private readonly changed = new Wakeup();

  constructor(
    private readonly server: Server,
    private readonly pool: ConnectionPool,
  ) {
    server.on('connection', socket => {
      pool.add(socket);
      if (socket.destroyed) return;
      this.open.add(socket);
      this.unused.add(socket);
      socket.once('close', () => this.forget(socket));
    });
    server.on('request', ({socket}) => this.markUsed(socket));
  }

  /** Connections that are upgraded from now on are no longer of this server. */
  forgetUpgraded(): void {
    this.server.on('upgrade', (_, upgraded) => {
      const socket = upgraded as Socket;
      this.pool.remove(socket);
      this.forget(socket);
    });
  }

  /** Resolves once no connection is without its first request. */
  async whenUsed(signal: AbortSignal): Promise<void> {
    while (this.unused.size > 0 && !signal.aborted) {
      await this.changed.wait(signal);
    }
  }

  /**
   * Ends every connection, reads what is still on its way and closes it. A
   * connection that is closed with unread bytes is reset, which may take an
   * answer away from its peer.
   */
  async close(): Promise<void> {
    const closed = [...this.open].map(
      socket => new Promise(resolve => socket.once('close', resolve)),
    );
    for (const socket of this.open) socket.end();
    const waiting = new AbortController();
    const {signal} = waiting;
    await Promise.race([
      Promise.all(closed),
      sleep(HALF_CLOSED_MILLISECONDS, undefined, {signal}),
    ]);
    waiting.abort();
    for (const socket of this.open) socket.destroy();
  }

  private markUsed(socket: Socket): void {
    if (this.unused.delete(socket)) this.changed.notify();
  }

  private forget(socket: Socket): void {
    this.open.delete(socket);
    this.markUsed(socket);
  }
}
