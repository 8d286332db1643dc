import * as assert from 'uvu/assert';
import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import * as v from 'valibot';
import type {WebSocket} from 'ws';
import {ManualClock, describe} from '@chicoryspring/testing';
import {LinkMethodRegistry} from '../method/link_method_registry.js';
import {DialerLinkLiveness} from './dialer_link_liveness.js';
import {WebSocketLink} from './web_socket_link.js';

const PING_INTERVAL_MILLISECONDS = 1_000;
const METHOD = {name: 'method', input: v.null(), result: v.null()};
const MESSAGE = JSON.stringify({
  jsonrpc: '2.0',
  method: 'method',
  params: null,
});

/** A socket whose peer sends what the test says. */
class FakeSocket extends EventEmitter {
  readonly OPEN = 1;
  readonly readyState = this.OPEN;
  readonly bufferedAmount = 0;
  ping(): void {}
  send(): void {}
  terminate(): void {
    this.emit('close');
  }
}

/** A dialed link, and the earliest send time of the first message on it. */
function open() {
  const clock = new ManualClock();
  const openedAfter = clock.now();
  const fake = new FakeSocket();
  const socket = fake as unknown as WebSocket;
  const registry = new LinkMethodRegistry();
  const received = new Promise<number>(resolve =>
    registry.register(METHOD, async (_, link) => {
      resolve(link.earliestSendTime);
      return null;
    }),
  );
  const interval = PING_INTERVAL_MILLISECONDS;
  const liveness = new DialerLinkLiveness(socket, clock, openedAfter, interval);
  const transport = {} as Socket;
  const link = new WebSocketLink(socket, transport, registry, clock, liveness);
  void link.run();
  return {clock, openedAfter, socket: fake, received};
}

describe('liveness of a dialed link', () => {
  describe('when a message arrives together with the pong after it', test => {
    test('does not take the message for sent after that ping', async () => {
      const {clock, openedAfter, socket, received} = open();
      socket.emit('pong');
      await clock.advance(PING_INTERVAL_MILLISECONDS);
      socket.emit('message', MESSAGE);
      socket.emit('pong');
      assert.is(await received, openedAfter);
      socket.terminate();
    });
  });
});
