import type {Socket} from 'node:net';
import type {Clock} from '@chicoryspring/contracts';

/** Time that a connection has for its client before another may replace it. */
const PROTECTED_MILLISECONDS = 1_000;

/**
 * Connections that listeners of a process share, up to a limit.
 *
 * At the limit a new connection replaces the one that has waited longest for its
 * client: first among those without any answer, then among idle ones. One whose
 * request is being served is never closed.
 */
export class ConnectionPool {
  private readonly open = new Set<Socket>();
  /** When those without any answer were opened, the first in front. */
  private readonly unanswered = new Map<Socket, number>();
  /** Since when the others wait for their clients, the longest in front. */
  private readonly idle = new Map<Socket, number>();
  /** Requests of the others that are being served. */
  private readonly served = new Map<Socket, number>();

  constructor(
    private readonly limit: number,
    private readonly clock: Clock,
    /** Told of each connection that is closed for the limit. */
    private readonly onClosed: () => void = () => undefined,
  ) {}

  get size(): number {
    return this.open.size;
  }

  /** Takes a connection in, or closes it. */
  add(socket: Socket): void {
    if (this.open.size >= this.limit && !this.replaceOne()) {
      this.close(socket);
      return;
    }
    this.open.add(socket);
    this.unanswered.set(socket, this.clock.now());
    socket.once('close', () => this.remove(socket));
  }

  /** A request of the connection is served until the function is called. */
  hold(socket: Socket): () => void {
    if (!this.open.has(socket)) return () => undefined;
    this.unanswered.delete(socket);
    this.idle.delete(socket);
    this.served.set(socket, (this.served.get(socket) ?? 0) + 1);
    return () => this.release(socket);
  }

  /** The connection is closed, or has become a link. */
  remove(socket: Socket): void {
    this.unanswered.delete(socket);
    this.idle.delete(socket);
    this.served.delete(socket);
    this.open.delete(socket);
  }

  /** Without another request the connection waits for its client. */
  private release(socket: Socket): void {
    if (!this.open.has(socket)) return;
    const served = (this.served.get(socket) ?? 0) - 1;
    if (served > 0) {
      this.served.set(socket, served);
    } else {
      this.served.delete(socket);
      this.idle.set(socket, this.clock.now());
    }
  }

  private replaceOne(): boolean {
    const socket = this.longest(this.unanswered) ?? this.longest(this.idle);
    if (!socket) return false;
    this.remove(socket);
    this.close(socket);
    return true;
  }

  private close(socket: Socket): void {
    socket.destroy();
    this.onClosed();
  }

  private longest(waiting: ReadonlyMap<Socket, number>): Socket | undefined {
    const [first] = waiting;
    if (!first) return undefined;
    const [socket, since] = first;
    const isProtected = since > this.clock.now() - PROTECTED_MILLISECONDS;
    return isProtected ? undefined : socket;
  }
}
