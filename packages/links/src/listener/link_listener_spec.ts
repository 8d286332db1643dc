import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import * as assert from 'uvu/assert';
import * as v from 'valibot';
import {WebSocket} from 'ws';
import {SystemClock} from '@chicoryspring/contracts';
import {OddJsonTexts, describe} from '@chicoryspring/testing';
import {LinkMethodRegistry} from '../method/link_method_registry.js';
import {LinkListener} from './link_listener.js';

const LINK_KEY = 'spec-link-key-0123456789';
const ECHO = {name: 'echo', input: v.string(), result: v.string()};
const CALL = {jsonrpc: '2.0', id: 1, method: 'echo', params: 'a'};
const RESETS = 20;

const ODD_MESSAGES = [
  ...OddJsonTexts.whole,
  ...OddJsonTexts.texts(CALL, ['jsonrpc', 'method', 'params']),
  ...OddJsonTexts.numbers(CALL, ['id']),
  ...OddJsonTexts.with({jsonrpc: '2.0', id: 1}, 'result', OddJsonTexts.whole),
  ...OddJsonTexts.with({jsonrpc: '2.0', id: 1}, 'error', OddJsonTexts.whole),
  {what: 'a list of null', text: '[null]'},
  {what: 'a list of lists', text: '[[[]]]'},
];

/** A listener with one method, and the calls of its peers. */
async function openListener() {
  const registry = new LinkMethodRegistry();
  registry.register(ECHO, async text => text);
  const listener = new LinkListener(registry, new SystemClock(), LINK_KEY);
  const server = createServer();
  listener.attach(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const dial = async () => {
    const headers = {authorization: `Bearer ${LINK_KEY}`};
    const socket = new WebSocket(`ws://127.0.0.1:${port}/links`, {headers});
    socket.on('error', () => undefined);
    await once(socket, 'open');
    return socket;
  };
  const echo = async () => {
    const socket = await dial();
    const answered = once(socket, 'message');
    socket.send(JSON.stringify(CALL));
    const [data] = await answered;
    socket.terminate();
    return JSON.parse(String(data)).result;
  };
  const close = () => {
    listener.close();
    server.close();
    server.closeAllConnections();
  };
  return {port, dial, echo, close};
}

describe('link listener', () => {
  describe('with a peer that sends an odd message', test => {
    for (const {what, text} of ODD_MESSAGES) {
      test(`goes on serving: ${what}`, async () => {
        const {dial, echo, close} = await openListener();
        const socket = await dial();
        socket.send(text);
        assert.is(await echo(), 'a');
        socket.terminate();
        close();
      });
    }

    test('goes on serving: bytes that are no UTF-8', async () => {
      const {dial, echo, close} = await openListener();
      const socket = await dial();
      socket.send(Buffer.from([0xff, 0xfe, 0x80]), {binary: false});
      await once(socket, 'close');
      assert.is(await echo(), 'a');
      close();
    });
  });

  describe('with a peer without the key that resets its connection', test => {
    test('goes on serving', async () => {
      const {port, echo, close} = await openListener();
      for (let reset = 0; reset < RESETS; reset += 1) {
        const socket = connect(port, '127.0.0.1');
        await once(socket, 'connect');
        socket.write(
          'GET /links HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n',
          () => socket.resetAndDestroy(),
        );
        await once(socket, 'close');
      }
      assert.is(await echo(), 'a');
      close();
    });
  });
});
