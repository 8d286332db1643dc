import * as assert from 'uvu/assert';
import {
  toChicoryspringError,
  type ErrorKind,
  type Outcome,
} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import type {LinkMethod} from '../method/link_method_types.js';
import {LinkBench} from '../spec/link_bench.js';

interface CallCase {
  readonly what: string;
  readonly method: LinkMethod<unknown, unknown>;
  readonly input: unknown;
  /** Action while the call is in flight. */
  readonly meanwhile?: (bench: LinkBench) => Promise<void> | void;
  readonly kind: ErrorKind;
  readonly outcome: Outcome;
}

const CASES: readonly CallCase[] = [
  {
    what: 'a handler that throws',
    method: LinkBench.fail,
    input: null,
    kind: 'capacity-exceeded',
    outcome: 'not-run',
  },
  {
    what: 'an unknown method',
    method: LinkBench.absent,
    input: null,
    kind: 'malformed-message',
    outcome: 'not-run',
  },
  {
    what: 'an input that fits no schema',
    method: LinkBench.echo,
    input: 12,
    kind: 'malformed-message',
    outcome: 'not-run',
  },
  {
    what: 'a result that fits no schema',
    method: LinkBench.lie,
    input: null,
    kind: 'answer-incomplete',
    outcome: 'unknown',
  },
  {
    what: 'no answer by the deadline',
    method: LinkBench.hang,
    input: null,
    meanwhile: bench => bench.clock.advance(1_000),
    kind: 'outcome-unknown',
    outcome: 'unknown',
  },
  {
    what: 'a link that closes during the call',
    method: LinkBench.hang,
    input: null,
    meanwhile: bench => bench.proxy.reset(),
    kind: 'link-closed',
    outcome: 'unknown',
  },
  {
    what: 'a message over the limit',
    method: LinkBench.echo,
    input: 'x'.repeat(5 * 1024 * 1024),
    kind: 'link-closed',
    outcome: 'unknown',
  },
];

interface CutCase {
  readonly what: string;
  readonly toServer: boolean;
  readonly toClient: boolean;
}

const CUTS: readonly CutCase[] = [
  {what: 'towards the server', toServer: true, toClient: false},
  {what: 'towards the client', toServer: false, toClient: true},
  {what: 'both ways', toServer: true, toClient: true},
];

async function withBench(
  use: (bench: LinkBench) => Promise<void>,
): Promise<void> {
  const bench = new LinkBench();
  try {
    await use(bench);
  } finally {
    bench.close();
  }
}

describe('link', () => {
  describe('call', test => {
    test('returns the result of the peer', () =>
      withBench(async bench => {
        const link = await bench.open();
        const deadline = bench.clock.now() + 1_000;
        const echoed = await link.call(LinkBench.echo, 'gauge', deadline);
        assert.is(echoed, 'gauge');
      }));

    for (const row of CASES) {
      test(`with ${row.what} fails as ${row.kind}`, () =>
        withBench(async bench => {
          const link = await bench.open();
          const deadline = bench.clock.now() + 1_000;
          const called = link
            .call(row.method, row.input, deadline)
            .then(() => undefined, toChicoryspringError);
          await new Promise(resolve => setTimeout(resolve, 20));
          await row.meanwhile?.(bench);
          const error = await called;
          assert.is(error?.kind, row.kind);
          assert.is(error?.answer.outcome, row.outcome);
        }));
    }

    test('on a closed link fails as certainly not run', () =>
      withBench(async bench => {
        const link = await bench.open();
        bench.proxy.reset();
        await bench.until(() => link.closed.aborted);
        const called = link.call(LinkBench.echo, '', bench.clock.now() + 1);
        const error = await called.catch(toChicoryspringError);
        assert.is(toChicoryspringError(error).kind, 'peer-unreachable');
      }));

    test('carries the details of an error', () =>
      withBench(async bench => {
        const link = await bench.open();
        const called = link.call(LinkBench.fail, null, Infinity);
        const error = toChicoryspringError(await called.catch(e => e));
        assert.equal(error.details, ['memory']);
      }));
  });

  describe('notification', test => {
    test('arrives in order', () =>
      withBench(async bench => {
        const link = await bench.open();
        for (let count = 0; count < 50; count += 1) {
          link.notify(LinkBench.tell, count);
        }
        await bench.until(() => bench.told.length === 50);
        assert.equal(bench.told, [...Array(50).keys()]);
      }));
  });

  describe('peer with too many calls', test => {
    test('gets errors beyond the limit and keeps its link', () =>
      withBench(async bench => {
        const link = await bench.open();
        const deadline = bench.clock.now() + 1_000;
        const kinds = new Map<string, number>();
        const count = (thrown: unknown) => {
          const {kind} = toChicoryspringError(thrown);
          kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
        };
        for (let call = 0; call < 10_500; call += 1) {
          link.call(LinkBench.hang, null, deadline).catch(count);
        }
        await bench.until(() => kinds.get('overloaded') === 500);
        assert.ok(link.isOpen);
      }));
  });

  describe('traffic', test => {
    test('counts bytes both ways', () =>
      withBench(async bench => {
        const link = await bench.open();
        const before = link.traffic;
        await link.call(LinkBench.echo, 'x'.repeat(1_000), Infinity);
        const {sentBytes, receivedBytes} = link.traffic;
        assert.ok(sentBytes - before.sentBytes >= 1_000);
        assert.ok(receivedBytes - before.receivedBytes >= 1_000);
      }));
  });

  for (const {what, toServer, toClient} of CUTS) {
    describe(`partitioned ${what}`, test => {
      test('is detected within 5 s and connected again', () =>
        withBench(async bench => {
          const link = await bench.open();
          bench.proxy.cut(toServer, toClient);
          for (let second = 0; second < 5; second += 1) {
            await bench.passSecond();
          }
          assert.ok(link.closed.aborted);
          bench.proxy.cut(false, false);
          // The timeout of the handshake in progress follows the real clock.
          for (let second = 0; second < 200; second += 1) {
            if (bench.link) break;
            await bench.passSecond();
          }
          assert.ok(bench.link?.isOpen);
          assert.ok(bench.greetings >= 2);
        }));
    });
  }

  describe('without traffic', test => {
    test('stays open, and keeps the earliest send time recent', () =>
      withBench(async bench => {
        const link = await bench.open();
        for (let second = 0; second < 8; second += 1) {
          await bench.passSecond();
        }
        assert.not.ok(link.closed.aborted);
        assert.ok(bench.clock.now() - link.earliestSendTime <= 2_000);
      }));
  });

  describe('lost repeatedly', test => {
    test('is connected again after each loss', () =>
      withBench(async bench => {
        await bench.open();
        for (let loss = 1; loss <= 3; loss += 1) {
          bench.proxy.reset();
          await bench.until(() => bench.link === undefined);
          await bench.clock.advance(2_000);
          await bench.until(() => bench.link !== undefined);
          assert.is(bench.greetings, loss + 1);
        }
      }));
  });
});
