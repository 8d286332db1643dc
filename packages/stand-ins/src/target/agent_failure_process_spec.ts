import {setTimeout as sleep} from 'node:timers/promises';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {LocalFleetStarter} from '../local/local_fleet_starter.js';
import {FleetCaller} from '../local/spec/fleet_caller.js';
import type {FleetReply} from '../local/spec/fleet_reply_types.js';

const ALL = [0, 1, 2];
const REQUESTS_OF_A_KIND = 12;
const ONCE = {'chicoryspring-idempotent': 'false'};
const POLL_MILLISECONDS = 20;
/** A bound against waiting for ever; no verdict depends on it. */
const MOST_POLLS = 1_000;

const starter = new LocalFleetStarter({
  basePort: 13_650,
  slots: 2 * REQUESTS_OF_A_KIND,
});
const fleet = await starter.start();
const caller = new FleetCaller(fleet);

function keysOf(name: string): readonly string[] {
  return Array.from({length: REQUESTS_OF_A_KIND}, (_, n) => `${name}-${n}`);
}

/** Sends non-idempotent requests through both entries, each with its key. */
function sendOnce(keys: readonly string[]): readonly Promise<FleetReply>[] {
  return keys.map((key, n) =>
    caller.check(`once ${key}`, {...ONCE, 'idempotency-key': key}, n % 2),
  );
}

/** Sends idempotent requests through both entries, without keys. */
function sendRepeatable(
  bodies: readonly string[],
): readonly Promise<FleetReply>[] {
  return bodies.map((body, n) => caller.check(body, {}, n % 2));
}

async function begunAtAll(): Promise<number> {
  const counts = await Promise.all(ALL.map(one => caller.executionsAt(one)));
  return counts
    .flatMap(one => Object.values(one))
    .reduce((sum, one) => sum + one, 0);
}

async function untilBegun(count: number): Promise<void> {
  for (let poll = 0; poll < MOST_POLLS; poll += 1) {
    if ((await begunAtAll()) >= count) return;
    await sleep(POLL_MILLISECONDS);
  }
  throw new Error(`${await begunAtAll()} of ${count} requests have begun`);
}

function assertOwnAnswers(
  replies: readonly FleetReply[],
  bodies: readonly string[],
): void {
  assert.equal(
    replies.map(reply => `${reply.outcome}: ${reply.text}`),
    bodies.map(body => `answered: ${body}`),
  );
}

describe('agent killed', (_, hooks) => {
  hooks.after(() => starter.stop());

  describe('once every request has begun at a target', test => {
    test('leaves those at its target unknown, and one execution of each', async () => {
      await caller.setTargetFault({fault: 'held'}, ALL);
      const keys = keysOf('begun');
      const bodies = keysOf('repeatable');
      const once = sendOnce(keys);
      const repeatable = sendRepeatable(bodies);
      await untilBegun(2 * REQUESTS_OF_A_KIND);
      const atTarget = await caller.executionsAt(0);
      const isAtTarget = (key: string) => (atTarget[key] ?? 0) > 0;
      assert.ok(keys.some(isAtTarget), 'none with a key');
      const others = Object.keys(atTarget).filter(key => !keys.includes(key));
      assert.ok(others.length > 0, 'none that is idempotent');

      process.kill(fleet.agents[0]!.pid, 'SIGKILL');
      const cutOff = await Promise.all(
        once.filter((__, n) => isAtTarget(keys[n]!)),
      );
      for (const reply of cutOff) assert.is(reply.outcome, 'unknown');

      await caller.setTargetFault({fault: 'none'}, ALL);
      assertOwnAnswers(
        await Promise.all(once.filter((__, n) => !isAtTarget(keys[n]!))),
        keys.filter(key => !isAtTarget(key)).map(key => `once ${key}`),
      );
      assertOwnAnswers(await Promise.all(repeatable), bodies);
      const counts = await Promise.all(keys.map(key => caller.executions(key)));
      assert.equal(counts, Array(keys.length).fill(1));
    });
  });

  describe('while requests are on their way', test => {
    test('leaves a truthful outcome, and at most one execution', async () => {
      await caller.setTargetFault({fault: 'none'}, ALL);
      const keys = keysOf('on-their-way');
      const bodies = keysOf('repeated');
      const once = sendOnce(keys);
      const repeatable = sendRepeatable(bodies);
      process.kill(fleet.agents[1]!.pid, 'SIGKILL');
      const replies = await Promise.all(once);
      assertOwnAnswers(await Promise.all(repeatable), bodies);
      for (const [n, {outcome}] of replies.entries()) {
        const executions = await caller.executions(keys[n]!);
        const isTruthful =
          outcome === 'answered'
            ? executions === 1
            : outcome === 'unknown' && executions <= 1;
        assert.ok(isTruthful, `${outcome} after ${executions} executions`);
      }
    });
  });
});
