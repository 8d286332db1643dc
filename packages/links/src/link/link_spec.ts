import * as assert from 'uvu/assert';
import {
  toChicoryspringError,
  type ErrorKind,
  type Outcome,
} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import type {LinkMethod} from '../method/link_method_types.js';
import {LinkFixture} from '../spec/link_fixture.js';

interface CallCase {
  readonly what: string;
  readonly method: LinkMethod<unknown, unknown>;
  readonly input: unknown;
  /** Action while the call is in flight. */
  readonly meanwhile?: (fixture: LinkFixture) => Promise<void> | void;
  readonly kind: ErrorKind;
  readonly outcome: Outcome;
}

const CASES: readonly CallCase[] = [
  {
    what: 'a handler that throws',
    method: LinkFixture.fail,
    input: null,
    kind: 'capacity-exceeded',
    outcome: 'not-run',
  },
  {
    what: 'an unknown method',
    method: LinkFixture.unregistered,
    input: null,
    kind: 'malformed-message',
    outcome: 'not-run',
  },
  {
    what: 'an input that fits no schema',
    method: LinkFixture.echo,
    input: 12,
    kind: 'malformed-message',
    outcome: 'not-run',
  },
  {
    what: 'a result that fits no schema',
    method: LinkFixture.invalidResult,
    input: null,
    kind: 'answer-incomplete',
    outcome: 'unknown',
  },
  {
    what: 'no answer by the deadline',
    method: LinkFixture.hang,
    input: null,
    meanwhile: fixture => fixture.clock.advance(1_000),
    kind: 'outcome-unknown',
    outcome: 'unknown',
  },
  {
    what: 'a link that closes during the call',
    method: LinkFixture.hang,
    input: null,
    meanwhile: fixture => fixture.proxy.reset(),
    kind: 'link-closed',
    outcome: 'unknown',
  },
  {
    what: 'a message over the limit',
    method: LinkFixture.echo,
    input: 'x'.repeat(5 * 1024 * 1024),
    kind: 'link-closed',
    outcome: 'unknown',
  },
];

interface PartitionCase {
  readonly what: string;
  readonly toServer: boolean;
  readonly toClient: boolean;
}

const PARTITIONS: readonly PartitionCase[] = [
  {what: 'towards the server', toServer: true, toClient: false},
  {what: 'towards the client', toServer: false, toClient: true},
  {what: 'both ways', toServer: true, toClient: true},
];

async function withFixture(
  use: (fixture: LinkFixture) => Promise<void>,
): Promise<void> {
  const fixture = new LinkFixture();
  try {
    await use(fixture);
  } finally {
    fixture.close();
  }
}

describe('link', () => {
  describe('call', test => {
    test('returns the result of the peer', () =>
      withFixture(async fixture => {
        const link = await fixture.open();
        const deadline = fixture.clock.now() + 1_000;
        const echoed = await link.call(LinkFixture.echo, 'gauge', deadline);
        assert.is(echoed, 'gauge');
      }));

    for (const row of CASES) {
      test(`with ${row.what} fails as ${row.kind}`, () =>
        withFixture(async fixture => {
          const link = await fixture.open();
          const deadline = fixture.clock.now() + 1_000;
          const called = link
            .call(row.method, row.input, deadline)
            .then(() => undefined, toChicoryspringError);
          await new Promise(resolve => setTimeout(resolve, 20));
          await row.meanwhile?.(fixture);
          const error = await called;
          assert.is(error?.kind, row.kind);
          assert.is(error?.answer.outcome, row.outcome);
        }));
    }

    test('on a closed link fails as certainly not run', () =>
      withFixture(async fixture => {
        const link = await fixture.open();
        fixture.proxy.reset();
        await fixture.waitUntil(() => link.closed.aborted);
        const called = link.call(LinkFixture.echo, '', fixture.clock.now() + 1);
        const error = await called.catch(toChicoryspringError);
        assert.is(toChicoryspringError(error).kind, 'peer-unreachable');
      }));

    test('carries the details of an error', () =>
      withFixture(async fixture => {
        const link = await fixture.open();
        const called = link.call(LinkFixture.fail, null, Infinity);
        const error = toChicoryspringError(await called.catch(e => e));
        assert.equal(error.details, ['memory']);
      }));
  });

  describe('notification', test => {
    test('arrives in order', () =>
      withFixture(async fixture => {
        const link = await fixture.open();
        for (let count = 0; count < 50; count += 1) {
          link.notify(LinkFixture.record, count);
        }
        await fixture.waitUntil(() => fixture.received.length === 50);
        assert.equal(fixture.received, [...Array(50).keys()]);
      }));
  });

  describe('peer with too many calls', test => {
    test('gets errors beyond the limit and keeps its link', () =>
      withFixture(async fixture => {
        const link = await fixture.open();
        const deadline = fixture.clock.now() + 1_000;
        const kinds = new Map<string, number>();
        const count = (thrown: unknown) => {
          const {kind} = toChicoryspringError(thrown);
          kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
        };
        for (let call = 0; call < 10_500; call += 1) {
          link.call(LinkFixture.hang, null, deadline).catch(count);
        }
        await fixture.waitUntil(() => kinds.get('overloaded') === 500);
        assert.ok(link.isOpen);
      }));
  });

  describe('traffic', test => {
    test('counts bytes both ways', () =>
      withFixture(async fixture => {
        const link = await fixture.open();
        const before = link.traffic;
        await link.call(LinkFixture.echo, 'x'.repeat(1_000), Infinity);
        const {sentBytes, receivedBytes} = link.traffic;
        assert.ok(sentBytes - before.sentBytes >= 1_000);
        assert.ok(receivedBytes - before.receivedBytes >= 1_000);
      }));
  });

  for (const {what, toServer, toClient} of PARTITIONS) {
    describe(`partitioned ${what}`, test => {
      test('is detected within 5 s and connected again', () =>
        withFixture(async fixture => {
          const link = await fixture.open();
          fixture.proxy.partition(toServer, toClient);
          for (let second = 0; second < 5; second += 1) {
            await fixture.advanceSecond();
          }
          assert.ok(link.closed.aborted);
          fixture.proxy.partition(false, false);
          // The timeout of the handshake in progress follows the real clock.
          for (let second = 0; second < 200; second += 1) {
            if (fixture.link) break;
            await fixture.advanceSecond();
          }
          assert.ok(fixture.link?.isOpen);
          assert.ok(fixture.connectCount >= 2);
        }));
    });
  }

  describe('without traffic', test => {
    test('stays open, and keeps the earliest send time recent', () =>
      withFixture(async fixture => {
        const link = await fixture.open();
        for (let second = 0; second < 8; second += 1) {
          await fixture.advanceSecond();
        }
        assert.not.ok(link.closed.aborted);
        assert.ok(fixture.clock.now() - link.earliestSendTime <= 2_000);
      }));
  });

  describe('lost repeatedly', test => {
    test('is connected again after each loss', () =>
      withFixture(async fixture => {
        await fixture.open();
        for (let loss = 1; loss <= 3; loss += 1) {
          fixture.proxy.reset();
          await fixture.waitUntil(() => fixture.link === undefined);
          await fixture.clock.advance(2_000);
          await fixture.waitUntil(() => fixture.link !== undefined);
          assert.is(fixture.connectCount, loss + 1);
        }
      }));
  });
});
