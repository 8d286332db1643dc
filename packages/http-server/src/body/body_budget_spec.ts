import {once} from 'node:events';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {SystemClock} from '@chicoryspring/contracts';
import {ManualClock, describe} from '@chicoryspring/testing';
import {jsonAnswer} from '../answer/json_answer.js';
import {DEFAULT_HTTP_LIMITS} from '../server/default_http_limits.js';
import {HttpCapacity} from '../server/http_capacity.js';
import {HttpServer} from '../server/http_server.js';
import {BodyBudget} from './body_budget.js';

const SEED = 20_261_206;
const RUNS = 15;
const SETTLED_MILLISECONDS = 1_000;
const POLL_MILLISECONDS = 10;
const PROTECTED_MILLISECONDS = 1_000;
const HEAD = 'POST /echo HTTP/1.1\r\nhost: a\r\n';
const LIMITS = {
  ...DEFAULT_HTTP_LIMITS,
  bodyBytes: 2_000,
  headerMilliseconds: 1_000,
  requestMilliseconds: 200,
  bodyWindowMilliseconds: 100,
  bodyWindowBytes: 10,
};

/** What a client does after it has sent a part of its body. */
const ENDINGS = ['reset', 'end', 'stay', 'whole', 'over'] as const;

const clients = fc.array(
  fc.record({
    bytes: fc.integer({min: 0, max: 1_900}),
    chunkBytes: fc.constantFrom(1, 7, 500),
    ending: fc.constantFrom(...ENDINGS),
  }),
  {minLength: 1, maxLength: 12},
);

interface Client {
  readonly bytes: number;
  readonly chunkBytes: number;
  readonly ending: (typeof ENDINGS)[number];
}

async function send(port: number, client: Client): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.resume();
  await once(socket, 'connect');
  const {bytes, chunkBytes, ending} = client;
  const text = 'x'.repeat(chunkBytes);
  const chunk = `${chunkBytes.toString(16)}\r\n${text}\r\n`;
  const sent = ending === 'over' ? 3_000 : bytes;
  const count = Math.floor(sent / chunkBytes);
  socket.write(`${HEAD}transfer-encoding: chunked\r\n\r\n`);
  socket.write(chunk.repeat(count));
  if (ending === 'whole') socket.write('0\r\n\r\n');
  if (ending === 'end') socket.end();
  if (ending === 'reset') setTimeout(() => socket.resetAndDestroy(), 5);
  return socket;
}

describe('budget of bodies', () => {
  describe('of a server whose clients end in any way', test => {
    test('is zero when no request is open', async () => {
      const clock = new SystemClock();
      const capacity = HttpCapacity.ofProcess(2, clock);
      const answer = async () => jsonAnswer(200, {});
      const route = {method: 'POST', path: '/echo', answer} as const;
      const server = new HttpServer([route], LIMITS, clock, capacity);
      await server.listen('127.0.0.1', 0);
      const {port} = server.server.address() as AddressInfo;
      const property = fc.asyncProperty(clients, async sent => {
        const sockets = await Promise.all(sent.map(one => send(port, one)));
        const {bodies} = capacity;
        let waited = 0;
        await sleep(POLL_MILLISECONDS);
        while (bodies.usedBytes > 0 && waited < SETTLED_MILLISECONDS) {
          await sleep(POLL_MILLISECONDS);
          waited += POLL_MILLISECONDS;
        }
        for (const socket of sockets) socket.destroy();
        assert.is(bodies.usedBytes, 0);
      });
      try {
        await fc.assert(property, {seed: SEED, numRuns: RUNS});
      } finally {
        server.server.closeAllConnections();
        server.server.close();
      }
    });
  });

  describe('that is spent', test => {
    const body = (given: Set<string>, name: string) => ({
      giveUp: () => given.add(name),
    });

    test('takes from the body that has been arriving longest', async () => {
      const clock = new ManualClock();
      const budget = new BodyBudget(100, clock);
      const given = new Set<string>();
      budget.take(body(given, 'first'), 60);
      await clock.advance(1);
      budget.take(body(given, 'second'), 40);
      await clock.advance(PROTECTED_MILLISECONDS);
      budget.take(body(given, 'third'), 50);
      assert.equal([...given], ['first']);
      assert.is(budget.usedBytes, 90);
    });

    test('takes nothing from bodies that have arrived or are new', async () => {
      const clock = new ManualClock();
      const budget = new BodyBudget(100, clock);
      const given = new Set<string>();
      const arrived = body(given, 'arrived');
      budget.take(arrived, 60);
      budget.keep(arrived);
      await clock.advance(PROTECTED_MILLISECONDS);
      budget.take(body(given, 'new'), 40);
      assert.throws(() => budget.take(body(given, 'newest'), 1), /too many/);
      budget.release(arrived);
      budget.release(arrived);
      assert.is(budget.usedBytes, 40);
      assert.is(given.size, 0);
    });
  });
});
