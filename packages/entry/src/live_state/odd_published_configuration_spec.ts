import * as assert from 'uvu/assert';
import {ConfigurationPublisher} from '@chicoryspring/configuration';
import {NoOpStateLog} from '@chicoryspring/observability';
import {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import {ManualClock, OddJsonTexts, describe} from '@chicoryspring/testing';
import {LiveState} from './live_state.js';

const STEP_MILLISECONDS = 100;
const SETTLED_MILLISECONDS = 3_000;
const DOCUMENT_KEY = '/chicoryspring/configuration/document';

/** A live state, and the writes of other processes. */
function createFixture() {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const ignore = () => undefined;
  const log = new NoOpStateLog();
  const live = new LiveState(store, clock, ignore, ignore, undefined, log);
  const stopping = new AbortController();
  const pass = async (milliseconds: number) => {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS)
      await clock.advance(STEP_MILLISECONDS);
  };
  const publish = async (text: string) => {
    const keys = [DOCUMENT_KEY, ConfigurationPublisher.headKey];
    const puts = keys.map(key => ({kind: 'put' as const, key, value: text}));
    await store.transact([], puts);
  };
  const register = async (name: string) => {
    const key = LiveState.entryKey(name);
    const value = JSON.stringify({name, linkUrl: 'ws://127.0.0.1:1'});
    await store.transact([], [{kind: 'put', key, value}]);
  };
  const names = () => live.entries.map(one => one.name);
  const start = () => void live.run(stopping.signal);
  return {live, stopping, pass, publish, register, names, start};
}

describe('an unreadable published configuration', () => {
  describe('in the store', test => {
    for (const {what, text} of OddJsonTexts.whole) {
      test(`leaves the entries followed, and starts no work: ${what}`, async () => {
        const {live, stopping, pass, publish, register, names, start} =
          createFixture();
        await register('one');
        await publish(text);
        start();
        await pass(SETTLED_MILLISECONDS);
        assert.equal(names(), ['one']);
        await register('two');
        await pass(STEP_MILLISECONDS);
        assert.equal(names(), ['one', 'two']);
        assert.is(live.remainingFreshMilliseconds, 0);
        await publish('{"changeId":"1","author":"a","objects":[]}');
        await pass(SETTLED_MILLISECONDS);
        assert.is(live.configuration.current.document.changeId, '1');
        assert.ok(live.remainingFreshMilliseconds > 0);
        stopping.abort();
      });
    }
  });
});
