import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

/** TCP proxy between the ends of links that can partition each direction. */
export class PartitionProxy {
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer(client => this.forward(client));
  private dropsToServer = false;
  private dropsToClient = false;

  constructor(private readonly serverPort: number) {}

  /** Starts listening; returns the port. */
  async listen(): Promise<number> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  /** Drops bytes in the given directions from now on, without closing. */
  partition(toServer: boolean, toClient: boolean): void {
    this.dropsToServer = toServer;
    this.dropsToClient = toClient;
  }

  /** Resets every connection, as a crash of the peer does. */
  reset(): void {
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  close(): void {
    this.server.close();
    this.reset();
  }

  private forward(client: Socket): void {
    const server = connect(this.serverPort, '127.0.0.1');
    this.track(client, server);
    client.on('data', bytes => {
      if (!this.dropsToServer) server.write(bytes);
    });
    server.on('data', bytes => {
      if (!this.dropsToClient) client.write(bytes);
    });
  }

  private track(client: Socket, server: Socket): void {
    for (const socket of [client, server]) {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        this.sockets.delete(socket);
        client.destroy();
        server.destroy();
      });
    }
  }
}
