import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import * as assert from 'uvu/assert';
import {
  SystemClock,
  toChicoryspringError,
  type ErrorKind,
  type ServiceRequest,
} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {TargetClient} from './target_client.js';

const clock = new SystemClock();

interface TargetCase {
  readonly what: string;
  readonly answer: (response: ServerResponse) => void;
  readonly kind: ErrorKind | 'answered';
}

const CASES: readonly TargetCase[] = [
  {
    what: 'an answer with its length',
    answer: response => response.end('whole'),
    kind: 'answered',
  },
  {
    what: 'an answer in chunks',
    answer: response => {
      response.write('who');
      response.end('le');
    },
    kind: 'answered',
  },
  {
    what: 'an answer that ends with its connection',
    answer: response => response.socket?.end('HTTP/1.1 200 OK\r\n\r\nwho'),
    kind: 'answer-incomplete',
  },
  {
    what: 'a reset connection',
    answer: response => response.socket?.resetAndDestroy(),
    kind: 'answer-incomplete',
  },
];

function newRequest(waitMilliseconds: number): ServiceRequest {
  return {
    id: 'one',
    caller: 'rangers',
    service: 'records',
    idempotent: false,
    contentType: 'text/plain',
    body: 'log',
    deadline: clock.now() + waitMilliseconds,
  };
}

async function kindOf(
  client: TargetClient,
  waitMilliseconds = 2_000,
): Promise<string> {
  return await client.serve(newRequest(waitMilliseconds)).then(
    () => 'answered',
    thrown => toChicoryspringError(thrown).kind,
  );
}

/** Runs `use` with a client of a target that accepts one connection. */
async function withTarget(
  answer: (response: ServerResponse) => void,
  use: (client: TargetClient, count: () => number) => Promise<void>,
): Promise<void> {
  let count = 0;
  const server = createServer((_, response) => {
    count += 1;
    answer(response);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  const announcement = {service: 'records', url, slots: 1, connections: 1};
  const client = new TargetClient(announcement, clock);
  try {
    await use(client, () => count);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

describe('target client', () => {
  for (const {what, answer, kind} of CASES) {
    describe(`on ${what}`, test => {
      test(`yields ${kind} after one execution per request`, () =>
        withTarget(answer, async (client, count) => {
          assert.is(await kindOf(client), kind);
          assert.is(await kindOf(client), kind);
          assert.is(count(), 2);
        }));
    });
  }

  describe('on a reset of a reused connection', test => {
    test('does not retry, and does not claim that nothing ran', async () => {
      let isFirst = true;
      const answer = (response: ServerResponse) => {
        if (!isFirst) return void response.socket?.resetAndDestroy();
        isFirst = false;
        response.end('whole');
      };
      await withTarget(answer, async (client, count) => {
        assert.is(await kindOf(client), 'answered');
        assert.is(await kindOf(client), 'answer-incomplete');
        assert.is(count(), 2);
      });
    });
  });

  describe('on a deadline', test => {
    const hang = () => undefined;

    test('that passes while queued reports that nothing was sent', () =>
      withTarget(hang, async (client, count) => {
        const served = kindOf(client, 400);
        const queued = kindOf(client, 100);
        assert.is(await queued, 'deadline-passed');
        assert.is(await served, 'outcome-unknown');
        assert.is(count(), 1);
      }));

    test('that has passed sends nothing', () =>
      withTarget(hang, async (client, count) => {
        assert.is(await kindOf(client, 0), 'deadline-passed');
        assert.is(count(), 0);
      }));
  });

  describe('without a target', test => {
    test('reports that it is unreachable', async () => {
      const url = 'http://127.0.0.1:1';
      const announcement = {service: 'records', url, slots: 1, connections: 1};
      const client = new TargetClient(announcement, clock);
      assert.is(await kindOf(client), 'target-unreachable');
    });

    test('that was closed reports that it is draining', () =>
      withTarget(
        response => response.end(),
        async client => {
          await client.close();
          assert.is(await kindOf(client), 'draining');
        },
      ));
  });
});
