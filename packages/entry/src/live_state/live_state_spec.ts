import * as assert from 'uvu/assert';
import type {ConfigurationSource} from '@chicoryspring/configuration';
import {ChicoryspringError} from '@chicoryspring/contracts';
import {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import {ManualClock, describe} from '@chicoryspring/testing';
import {LiveState} from './live_state.js';

const STEP_MILLISECONDS = 100;

/** A live state whose configuration source can't be read, only followed. */
function createFixture() {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  let reads = 0;
  const source: ConfigurationSource = {
    read: async () => {
      reads += 1;
      throw new ChicoryspringError('store-unavailable', 'too slow');
    },
    follow: async () => undefined,
  };
  const ignore = () => undefined;
  const live = new LiveState(store, clock, ignore, ignore, source);
  const stopping = new AbortController();
  void live.run(stopping.signal);
  const pass = async (milliseconds: number) => {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS)
      await clock.advance(STEP_MILLISECONDS);
  };
  const register = async (name: string) => {
    const key = LiveState.entryKey(name);
    const value = JSON.stringify({name, linkUrl: 'ws://127.0.0.1:1'});
    await store.transact([], [{kind: 'put', key, value}]);
  };
  const names = () => live.entries.map(one => one.name);
  return {store, live, stopping, pass, register, names, readCount: () => reads};
}

describe('live state', () => {
  describe('with a configuration that is followed', test => {
    test('does not read it again when its own watch restarts', async () => {
      const {store, stopping, pass, readCount} = createFixture();
      await pass(1_000);
      store.dropWatches();
      await pass(2_000);
      assert.is(readCount(), 0);
      stopping.abort();
    });

    test('watches the entries although the configuration is slow', async () => {
      const {stopping, pass, register, names} = createFixture();
      await pass(1_000);
      await register('one');
      // Shorter than the interval of the reads that confirm the state.
      await pass(STEP_MILLISECONDS);
      assert.equal(names(), ['one']);
      stopping.abort();
    });
  });
});
