import fc from 'fast-check';
import * as assert from 'uvu/assert';
import type {StateChange, StateLog} from '@chicoryspring/observability';
import {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import {ManualClock, OddJsonTexts, describe} from '@chicoryspring/testing';
import {EntryListReader} from './entry_list_reader.js';
import {LiveState} from './live_state.js';

const STEP_MILLISECONDS = 100;
const SETTLED_MILLISECONDS = 3_000;
const SEED = 20_261_205;

const VALID = {
  name: 'odd',
  linkUrl: 'ws://127.0.0.1:7301',
  megabitsPerSecond: 100,
};

const ODD_LINKS = [
  'ws://127.0.0.1:99999',
  'ws://127.0.0.1:65536',
  'ws://127.0.0.1:0',
  'ws://127.0.0.1:-1',
  'ws://127.0.0.1:NaN',
  'ws://',
  'ws://a b:1',
  'http://127.0.0.1:1',
  'ws://127.0.0.1:1/#a',
  'ws://user:word@127.0.0.1:1',
].map(link => ({what: link, text: JSON.stringify(link)}));

const ODD_ENTRIES = [
  ...OddJsonTexts.whole,
  ...OddJsonTexts.missing(VALID, ['name', 'linkUrl']),
  ...OddJsonTexts.texts(VALID, ['name', 'linkUrl']),
  ...OddJsonTexts.numbers(VALID, ['megabitsPerSecond']),
  ...OddJsonTexts.with(VALID, 'linkUrl', ODD_LINKS),
  {
    what: 'a name that is not that of its key',
    text: JSON.stringify({...VALID, name: 'z-after'}),
  },
];

/** A store with a list of entries, and the lines that readers of it log. */
function createFixture() {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  const logged: StateChange[] = [];
  const log: StateLog = {change: (_, change) => void logged.push(change)};
  const write = async (key: string, value: string) => {
    await store.transact([], [{kind: 'put', key, value}]);
  };
  const put = (name: string, text: string) =>
    write(LiveState.entryKey(name), text);
  const putValid = (name: string) =>
    put(name, JSON.stringify({...VALID, name}));
  const linesAbout = (name: string) =>
    logged.filter(one => one['key'] === LiveState.entryKey(name)).length;
  return {clock, store, log, write, put, putValid, linesAbout};
}

/** The fixture with a live state that follows the list. */
function createLiveFixture() {
  const fixture = createFixture();
  const {clock, store, log} = fixture;
  const ignore = () => undefined;
  const live = new LiveState(store, clock, ignore, ignore, undefined, log);
  const stopping = new AbortController();
  const pass = async (milliseconds: number) => {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS)
      await clock.advance(STEP_MILLISECONDS);
  };
  const names = () => live.entries.map(one => one.name).sort();
  const start = () => void live.run(stopping.signal);
  return {...fixture, live, stopping, pass, names, start};
}

describe('an odd entry in the list', () => {
  describe('that an entry finds when it starts', test => {
    for (const {what, text} of ODD_ENTRIES) {
      test(`costs only itself: ${what}`, async () => {
        const {put, putValid, start, pass, names, live, stopping, linesAbout} =
          createLiveFixture();
        await putValid('a-before');
        await put('odd', text);
        await putValid('z-after');
        start();
        await pass(SETTLED_MILLISECONDS);
        assert.equal(names(), ['a-before', 'z-after']);
        assert.ok(live.remainingFreshMilliseconds > 0, 'confirmed');
        await putValid('later');
        await pass(STEP_MILLISECONDS);
        assert.equal(names(), ['a-before', 'later', 'z-after']);
        assert.is(linesAbout('odd'), 1);
        await putValid('odd');
        await pass(STEP_MILLISECONDS);
        assert.ok(names().includes('odd'), 'written well');
        stopping.abort();
      });
    }
  });

  describe('that is written while an entry follows the list', test => {
    for (const {what, text} of ODD_ENTRIES) {
      test(`costs only itself: ${what}`, async () => {
        const {put, putValid, start, pass, names, live, stopping, linesAbout} =
          createLiveFixture();
        await putValid('z-after');
        await putValid('odd');
        start();
        await pass(SETTLED_MILLISECONDS);
        await put('odd', text);
        await pass(SETTLED_MILLISECONDS);
        assert.equal(names(), ['z-after']);
        assert.ok(live.remainingFreshMilliseconds > 0, 'confirmed');
        await putValid('later');
        await pass(STEP_MILLISECONDS);
        assert.equal(names(), ['later', 'z-after']);
        assert.is(linesAbout('odd'), 1);
        await putValid('odd');
        await pass(STEP_MILLISECONDS);
        assert.ok(names().includes('odd'), 'written well');
        stopping.abort();
      });
    }
  });

  describe('that an agent reads', test => {
    for (const {what, text} of ODD_ENTRIES) {
      test(`costs only itself: ${what}`, async () => {
        const {store, log, put, putValid, linesAbout} = createFixture();
        const reader = new EntryListReader(store, log);
        const read = async () => (await reader.read()).map(one => one.name);
        await putValid('a-before');
        await put('odd', text);
        await putValid('z-after');
        assert.equal(await read(), ['a-before', 'z-after']);
        assert.equal(await read(), ['a-before', 'z-after']);
        assert.is(linesAbout('odd'), 1);
        await putValid('odd');
        assert.equal(await read(), ['a-before', 'odd', 'z-after']);
      });
    }
  });

  describe('of any text or JSON value', test => {
    test('never costs the others', async () => {
      const anyText = fc.oneof(
        fc.string(),
        fc.json(),
        fc
          .record({name: fc.jsonValue(), linkUrl: fc.jsonValue()})
          .map(value => JSON.stringify(value)),
        fc
          .record({linkUrl: fc.webUrl(), megabitsPerSecond: fc.double()})
          .map(value => JSON.stringify({name: 'odd', ...value})),
      );
      const property = fc.asyncProperty(anyText, async text => {
        const {log, store, put, putValid, start, pass, names, stopping} =
          createLiveFixture();
        await putValid('a-before');
        await put('odd', text);
        await putValid('z-after');
        start();
        await pass(STEP_MILLISECONDS);
        const read = await new EntryListReader(store, log).read();
        stopping.abort();
        const others = (all: readonly string[]) =>
          all.filter(one => one !== 'odd');
        assert.equal(others(names()), ['a-before', 'z-after']);
        assert.equal(others(read.map(one => one.name)), [
          'a-before',
          'z-after',
        ]);
      });
      await fc.assert(property, {numRuns: 200, seed: SEED});
    });
  });

  describe('with fields of a later release', test => {
    test('is used', async () => {
      const {put, start, pass, names, stopping} = createLiveFixture();
      const [text] = OddJsonTexts.with(VALID, 'later', OddJsonTexts.whole);
      await put('odd', text!.text);
      await put(
        'proto',
        '{"__proto__":{"a":1},"name":"proto","linkUrl":"ws://a:1"}',
      );
      start();
      await pass(STEP_MILLISECONDS);
      assert.equal(names(), ['odd', 'proto']);
      stopping.abort();
    });
  });
});
