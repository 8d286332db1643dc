import {setTimeout as sleep} from 'node:timers/promises';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {LocalFleetStarter} from '../local/local_fleet_starter.js';
import {countBrokenPromises} from '../local/spec/broken_promises_count.js';
import {FleetCaller} from '../local/spec/fleet_caller.js';
import type {FleetReply} from '../local/spec/fleet_reply_types.js';

const PROCESSORS = 16;
const NOTHING_BROKEN = {inTwoPlaces: 0, startedTwice: 0, overCommitted: 0};
const LOADERS = 16;
/** Time after which a target that leaves gets no new work. */
const LEFT_MILLISECONDS = 2_000;
const ONCE = {'chicoryspring-idempotent': 'false'};

const starter = new LocalFleetStarter({
  entries: 3,
  workers: 4,
  failureDomains: 2,
  basePort: 14_650,
  serviceMilliseconds: 20,
});
const fleet = await starter.start();
const caller = new FleetCaller(fleet);

/** Callers that ask all the while and repeat only what did not run. */
class Load {
  readonly failures: FleetReply[] = [];
  answered = 0;
  private isOver = false;
  private loaders: Promise<unknown> = Promise.resolve();

  start(): void {
    const loaders = Array.from({length: LOADERS}, (_, n) => this.loop(n));
    this.loaders = Promise.all(loaders);
  }

  async finish(): Promise<void> {
    this.isOver = true;
    await this.loaders;
  }

  private async loop(loader: number): Promise<void> {
    for (let count = 0; !this.isOver; count += 1) {
      const key = `load-${loader}-${count}`;
      const isOnce = count % 4 === 0;
      const headers = {'idempotency-key': key, ...(isOnce ? ONCE : {})};
      const reply = await this.ask(key, count, isOnce ? headers : {});
      if (reply.text === key) this.answered += 1;
      else this.failures.push(reply);
    }
  }

  private async ask(
    body: string,
    count: number,
    headers: Readonly<Record<string, string>>,
  ): Promise<FleetReply> {
    let reply = await caller.check(body, headers, count % 3);
    for (let repeat = 1; repeat <= 20; repeat += 1) {
      if (reply.outcome !== 'not-run') return reply;
      await sleep(50);
      reply = await caller.check(body, headers, (count + repeat) % 3);
    }
    return reply;
  }
}

async function executionsAt(position: number): Promise<number> {
  const counts = await caller.executionsAt(position);
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

const load = new Load();
load.start();

describe('SIGTERM under load', (_, hooks) => {
  hooks.after(() => starter.stop());

  describe('of an agent', test => {
    test('gives its target no new work and moves its tasks', async () => {
      const watches = await Promise.all(
        Array.from({length: 6}, () => caller.submit({kind: 'watch'})),
      );
      await caller.untilAll(watches, 'running');
      const stopped = starter.group.stop(['agent-1']);
      await sleep(LEFT_MILLISECONDS);
      const before = await executionsAt(0);
      await sleep(LEFT_MILLISECONDS);
      assert.is((await executionsAt(0)) - before, 0);
      await stopped;
      await caller.untilAll(watches, 'running');
      const views = await Promise.all(watches.map(id => caller.task(id)));
      assert.is(views.filter(one => one.worker === 'worker-1').length, 0);
      const broken = countBrokenPromises(await caller.allStarts(), PROCESSORS);
      assert.equal(broken, NOTHING_BROKEN);
    });
  });

  describe('of a target', test => {
    test('gives it no new work after 2 s', async () => {
      await starter.group.stop(['target-2']);
      await sleep(LEFT_MILLISECONDS);
      const reply = await caller.check('still served');
      assert.is(reply.outcome, 'answered', reply.text);
    });
  });

  describe('of an entry', test => {
    test('ends, and the others take its shards', async () => {
      await starter.group.stop(['entry-2']);
      const id = await caller.submit({});
      await caller.untilAll([id], 'finished');
    });
  });

  describe('of all three', test => {
    test('cut off no request', async () => {
      await load.finish();
      assert.equal(load.failures.slice(0, 3), []);
      assert.ok(load.answered > LOADERS);
    });
  });
});
