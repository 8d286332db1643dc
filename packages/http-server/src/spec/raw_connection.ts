import {once} from 'node:events';
import {connect, type Socket} from 'node:net';

const HOST = '127.0.0.1';

/** A connection of a client that sends text and keeps what it receives. */
export class RawConnection {
  private text = '';
  private failure = '';
  private readonly closed: Promise<unknown>;

  private constructor(private readonly socket: Socket) {
    socket.on('data', bytes => (this.text += bytes.toString()));
    socket.on('error', ({message}) => (this.failure = message));
    this.closed = new Promise(resolve => socket.once('close', resolve));
  }

  /** Opens a connection; undefined if it is refused. */
  static async open(port: number): Promise<RawConnection | undefined> {
    const socket = connect(port, HOST);
    const connection = new RawConnection(socket);
    try {
      await once(socket, 'connect');
      return connection;
    } catch {
      return undefined;
    }
  }

  send(text: string): void {
    this.socket.write(text);
  }

  /** Sends a request without a body. */
  get(path: string): void {
    this.send(`GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`);
  }

  /** What has been received, once the server has closed the connection. */
  async untilClosed(): Promise<string> {
    await this.closed;
    return this.text || this.failure;
  }

  get received(): string {
    return this.text;
  }

  close(): void {
    this.socket.destroy();
  }
}
