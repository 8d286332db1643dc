import {setImmediate} from 'node:timers/promises';
import * as assert from 'uvu/assert';
import {NoOpStateLog} from '@chicoryspring/observability';
import {ManualClock, describe} from '@chicoryspring/testing';
import {JobLoadQueue} from './job_load_queue.js';

/** Four jobs of this cost fill a turn. */
const COST = 700;
const IDS = Array.from({length: 10}, (_, number) => `j${number}`);

function open(broken = '') {
  const clock = new ManualClock();
  const loaded: string[] = [];
  const calls = {loadedCount: 0};
  const load = (id: string) => {
    if (id === broken) throw new Error('broken');
    loaded.push(id);
    return COST;
  };
  const onLoaded = () => void (calls.loadedCount += 1);
  const log = new NoOpStateLog();
  const queue = new JobLoadQueue({clock, log, load, onLoaded});
  return {clock, queue, loaded, calls};
}

async function passTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) await setImmediate();
}

describe('job load queue', () => {
  describe('with more jobs than fit into a turn', test => {
    test('loads a bounded part of them in each turn', async () => {
      const {queue, loaded, calls} = open();
      queue.add(IDS);
      assert.is(loaded.length, 4);
      assert.is(queue.waiting.size, 6);
      await passTurns(1);
      assert.ok(loaded.length <= 8, `${loaded.length} jobs`);
      await passTurns(5);
      assert.equal(loaded, IDS);
      assert.is(calls.loadedCount, 1);
    });

    test('has one bound for the jobs of all shards', async () => {
      const {queue, loaded} = open();
      queue.add(IDS.slice(0, 3));
      queue.add(IDS.slice(3, 6));
      queue.add(IDS.slice(6));
      assert.is(loaded.length, 4);
      await passTurns(6);
      assert.equal(loaded, IDS);
    });

    test('loads none that was removed before its turn', async () => {
      const {queue, loaded} = open();
      queue.add(IDS);
      assert.is(queue.remove('j9'), true);
      assert.is(queue.remove('j0'), false);
      await passTurns(6);
      assert.equal(loaded, IDS.slice(0, 9));
    });

    test('loads the others although one can not be loaded', async () => {
      const {clock, queue, loaded} = open('j5');
      queue.add(IDS);
      for (let turn = 0; turn < 6; turn += 1) {
        await passTurns(2);
        await clock.advance(100);
      }
      assert.equal(
        loaded,
        IDS.filter(id => id !== 'j5'),
      );
    });
  });
});
