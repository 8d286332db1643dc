import {setTimeout as sleep} from 'node:timers/promises';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {LocalFleetStarter} from '../local/local_fleet_starter.js';
import {FleetCaller} from '../local/spec/fleet_caller.js';

const ALL = [0, 1, 2];
const BODY = JSON.stringify({gauge: 'B-17', note: 'é'.repeat(2_000)});
const ONCE = {'chicoryspring-idempotent': 'false'};
const SHORT = {'chicoryspring-deadline-milliseconds': '400'};
const LATE = {fault: 'late', delayMilliseconds: 800};

const starter = new LocalFleetStarter({
  basePort: 16_650,
});
const fleet = await starter.start();
const caller = new FleetCaller(fleet);

interface FaultCase {
  readonly fault: string;
  /** What the caller of a non-idempotent request is told. */
  readonly once: 'answered' | 'unknown';
}

const FAULTS: readonly FaultCase[] = [
  {fault: 'truncated', once: 'unknown'},
  {fault: 'swapped', once: 'unknown'},
  {fault: 'lost', once: 'unknown'},
  {fault: 'duplicated', once: 'answered'},
];

describe('request', (_, hooks) => {
  hooks.after(() => starter.stop());

  for (const {fault, once} of FAULTS) {
    describe(`answer that is ${fault}`, test => {
      test(`by every target is ${once}, after one execution`, async () => {
        const key = `${fault}-once`;
        const headers = {...ONCE, 'idempotency-key': key};
        await caller.setTargetFault({fault}, ALL);
        const reply = await caller.check(BODY, headers);
        const repeat = await caller.check(BODY, headers, 1);
        await caller.setTargetFault({fault: 'none'}, ALL);
        assert.is(reply.outcome, once, reply.text);
        assert.is(repeat.outcome, once, repeat.text);
        assert.is(await caller.executions(key), 1);
      });

      test('by one target never reaches an idempotent caller', async () => {
        await caller.setTargetFault({fault}, [1]);
        const bodies = Array.from({length: 60}, (__, n) => `${BODY} ${n}`);
        const replies = await Promise.all(
          bodies.map((body, n) => caller.check(body, {}, n % 2)),
        );
        await caller.setTargetFault({fault: 'none'}, ALL);
        const wrong = replies.filter(
          (reply, n) =>
            reply.outcome === 'answered' && reply.text !== bodies[n],
        );
        const lost = replies.filter(reply => reply.outcome !== 'answered');
        assert.is(wrong.length, 0);
        assert.is(lost.length, 0, JSON.stringify(lost[0]));
      });
    });
  }

  describe('answer that is late', test => {
    test('is unknown first and replayed to a later repeat', async () => {
      const headers = {...ONCE, 'idempotency-key': 'late-once'};
      await caller.setTargetFault(LATE, ALL);
      const reply = await caller.check(BODY, {...headers, ...SHORT});
      await caller.setTargetFault({fault: 'none'}, ALL);
      assert.is(reply.outcome, 'unknown', reply.text);
      await sleep(LATE.delayMilliseconds);
      const repeat = await caller.check(BODY, headers, 1);
      assert.is(repeat.outcome, 'answered', repeat.text);
      assert.is(repeat.text, BODY);
      assert.is(await caller.executions('late-once'), 1);
    });
  });

  describe('key', test => {
    test('repeated 1,000 times over both entries runs once', async () => {
      const headers = {...ONCE, 'idempotency-key': 'storm'};
      let wrong = 0;
      for (let wave = 0; wave < 10; wave += 1) {
        const replies = await Promise.all(
          Array.from({length: 100}, (__, n) =>
            caller.check(BODY, headers, n % 2),
          ),
        );
        wrong += replies.filter(reply => reply.text !== BODY).length;
      }
      assert.is(wrong, 0);
      assert.is(await caller.executions('storm'), 1);
    });
  });
});
