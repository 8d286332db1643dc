import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import * as assert from 'uvu/assert';
import {ChicoryspringError, SystemClock} from '@chicoryspring/contracts';
import {ManualClock, describe} from '@chicoryspring/testing';
import {jsonAnswer} from '../answer/json_answer.js';
import {ConnectionPool} from '../connection/connection_pool.js';
import {RawConnection} from '../spec/raw_connection.js';
import {DEFAULT_HTTP_LIMITS} from './default_http_limits.js';
import {HttpCapacity} from './http_capacity.js';
import type {HttpRefusal} from './http_refusal_types.js';
import {HttpServer} from './http_server.js';

const HEAD = 'POST /echo HTTP/1.1\r\nhost: a\r\n';
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const SENT_BYTES = 16 * 1024 * 1024;
/** What arrives with the head and until reading stops. */
const READ_BYTES = 1024 * 1024;
const NOT_RUN = /connection: close[^]*"outcome":"not-run"/i;
const LIMITS = {
  ...DEFAULT_HTTP_LIMITS,
  bodyWindowMilliseconds: 100,
  bodyWindowBytes: 10,
};

interface RefusalCase {
  readonly what: string;
  readonly sent: string;
  readonly status: RegExp;
  readonly refusals: readonly HttpRefusal[];
}

const CASES: readonly RefusalCase[] = [
  {
    what: 'announces too large a body',
    sent: `${HEAD}content-length: 2000000\r\n\r\n`,
    status: /^HTTP\/1.1 413 /,
    refusals: ['body-too-large'],
  },
  {
    what: 'goes over the limit',
    sent: `${CHUNKED}200000\r\n${'x'.repeat(2_000_000)}`,
    status: /^HTTP\/1.1 413 /,
    refusals: ['body-too-large'],
  },
  {
    what: 'stops before the end',
    sent: `${CHUNKED}5\r\nabcde\r\n`,
    status: /^HTTP\/1.1 408 [^]*retry-after: 1/,
    refusals: ['body-too-slow'],
  },
  {
    what: 'leaves a body open that its headers do not entitle it to',
    sent: 'POST /guarded HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n',
    status: /^HTTP\/1.1 401 /,
    refusals: [],
  },
  {
    what: 'sends a body to no route',
    sent: 'PUT /none HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n',
    status: /^HTTP\/1.1 404 /,
    refusals: [],
  },
];

function refuse(): never {
  throw new ChicoryspringError('unauthenticated', 'a token is required');
}

async function open(answered = new Set<string>(), limits = LIMITS) {
  const clock = new SystemClock();
  const refusals: HttpRefusal[] = [];
  const capacity = HttpCapacity.ofProcess(2, clock, reason =>
    refusals.push(reason),
  );
  const answer = async ({body}: {readonly body: string}) => {
    answered.add(body);
    return jsonAnswer(200, {length: body.length});
  };
  const route = {method: 'POST', path: '/echo', answer} as const;
  const routes = [route, {...route, path: '/guarded', admit: refuse}];
  const server = new HttpServer(routes, limits, clock, capacity);
  await server.listen('127.0.0.1', 0);
  const accepted = once(server.server, 'connection');
  const {port} = server.server.address() as AddressInfo;
  const connection = (await RawConnection.open(port))!;
  const close = () => {
    connection.close();
    server.server.closeAllConnections();
    server.server.close();
  };
  return {connection, capacity, port, close, accepted, refusals};
}

describe('HTTP server with a client outside the limits', () => {
  for (const {what, sent, status, refusals: expected} of CASES) {
    describe(`that ${what}`, test => {
      test('answers that it has not run, and ends the connection', async () => {
        const answered = new Set<string>();
        const {connection, capacity, close, refusals} = await open(answered);
        connection.send(sent);
        const text = await connection.untilClosed();
        assert.match(text, status);
        assert.match(text, NOT_RUN);
        assert.is(capacity.bodies.usedBytes, 0);
        assert.is(answered.size, 0);
        assert.equal(refusals, expected);
        close();
      });
    });
  }

  describe('that leaves bodies open until the budget is spent', test => {
    test('refuses a new one with 503 and Retry-After', async () => {
      const {connection, capacity, port, close} = await open(
        new Set(),
        DEFAULT_HTTP_LIMITS,
      );
      const opened = new Set<RawConnection>();
      for (let count = 0; count < 2; count += 1) {
        const stalled = (await RawConnection.open(port))!;
        opened.add(stalled);
        stalled.send(`${CHUNKED}f0000\r\n${'x'.repeat(983_040)}`);
      }
      while (capacity.bodies.usedBytes < 2 * 1024 * 1024) await sleep(5);
      connection.send(`${CHUNKED}3\r\nabc\r\n`);
      const text = await connection.untilClosed();
      assert.match(text, /^HTTP\/1.1 503 [^]*retry-after: 1[^]*"overloaded"/);
      assert.match(text, NOT_RUN);
      for (const one of opened) one.close();
      close();
    });
  });
});

describe('HTTP server with a body that it refuses by its head', () => {
  for (const path of ['/none', '/guarded', '/echo']) {
    describe(`sent to ${path}`, test => {
      test('does not read it', async () => {
        const {connection, close, accepted} = await open();
        connection.send(`POST ${path} HTTP/1.1\r\nhost: a\r\n`);
        connection.send(`content-length: ${SENT_BYTES}\r\n\r\n`);
        connection.send('x'.repeat(SENT_BYTES));
        await connection.untilClosed();
        const [socket] = (await accepted) as [Socket];
        assert.ok(socket.bytesRead < READ_BYTES, `${socket.bytesRead} bytes`);
        close();
      });
    });
  }
});

describe('HTTP server with a client within the limits', () => {
  describe('that sends a large body in one-byte chunks', test => {
    test('answers it', async () => {
      const {connection, capacity, close} = await open();
      const chunks = '1\r\nx\r\n'.repeat(200_000);
      connection.send(`${HEAD}connection: close\r\n`);
      connection.send('transfer-encoding: chunked\r\n\r\n');
      connection.send(`${chunks}0\r\n\r\n`);
      assert.match(await connection.untilClosed(), /"length":200000/);
      assert.is(capacity.bodies.usedBytes, 0);
      close();
    });
  });
});

describe('pool of connections', () => {
  describe('that is full', test => {
    const socket = (closed: Map<string, number>, name: string) => ({
      destroy: () => closed.set(name, (closed.get(name) ?? 0) + 1),
      once: () => undefined,
    });
    type Sockets = Parameters<ConnectionPool['add']>[0];

    test('replaces what waits longest, never what is served', async () => {
      const clock = new ManualClock();
      let refused = 0;
      const pool = new ConnectionPool(3, clock, () => (refused += 1));
      const closed = new Map<string, number>();
      const count = (name: string) => closed.get(name) ?? 0;
      const [served, idle, fresh, next, last] = [
        ...['served', 'idle', 'fresh', 'next', 'last'],
      ].map(name => socket(closed, name) as unknown as Sockets);
      pool.add(served!);
      pool.add(idle!);
      pool.add(fresh!);
      pool.hold(served!);
      pool.hold(served!)();
      pool.hold(idle!)();
      pool.add(next!);
      assert.equal([...closed], [['next', 1]]);
      await clock.advance(1_000);
      pool.add(next!);
      assert.equal([count('next'), count('fresh')], [1, 1]);
      pool.add(last!);
      assert.is(count('idle'), 1);
      pool.add(fresh!);
      assert.equal([count('fresh'), count('served')], [2, 0]);
      assert.is(pool.size, 3);
      assert.is(
        refused,
        [...closed.values()].reduce((sum, n) => sum + n),
      );
    });
  });
});
