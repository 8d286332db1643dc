import * as assert from 'uvu/assert';
import {toChicoryspringError} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import type {StoreChange} from '../store/store_change_types.js';
import type {StoreHarness} from './store_harness_types.js';

const LEASE_MILLISECONDS = 60_000;
const LARGE_VALUE_BYTES = 400_000;

/** Faults of a write, and the error kinds that a client may report for each. */
const WRITE_FAULTS = [
  {fault: 'down', kinds: ['store-unavailable', 'store-outcome-unknown']},
  {fault: 'slow', kinds: ['store-outcome-unknown']},
  {fault: 'reply-lost', kinds: ['store-outcome-unknown']},
] as const;

/** Declares the tests that every implementation of `Store` must pass. */
export function describeStoreContract(
  name: string,
  open: () => Promise<StoreHarness>,
): void {
  const declared = [
    ['values', declareValueTests],
    ['leases', declareLeaseTests],
    ['watches', declareWatchTests],
    ['faults', declareFaultTests],
    ['transfers', declareTransferTests],
  ] as const;
  describe(`${name} store`, () => {
    for (const [block, declare] of declared) {
      describe(block, (test, hooks) => {
        const opened: StoreHarness[] = [];
        hooks.after(async () => {
          for (const harness of opened) await harness.close();
        });
        declare(test, async () => {
          const harness = await open();
          opened.push(harness);
          return harness;
        });
      });
    }
  });
}

type Open = () => Promise<StoreHarness>;
type Declare = (name: string, body: () => Promise<void>) => void;

function put(key: string, value: string, lease?: string) {
  return {kind: 'put' as const, key, value, lease};
}

function declareValueTests(test: Declare, open: Open): void {
  test('reads the values below a prefix, with their revision', async () => {
    const {store} = await open();
    const text = 'é'.repeat(100_000);
    const operations = [put('/a/2', text), put('/a/1', 'x'), put('/b', 'y')];
    const written = await store.transact([], operations);
    const range = await store.readPrefix('/a/');
    const {revision} = written;
    assert.equal(range.values, [
      {key: '/a/1', value: 'x', revision},
      {key: '/a/2', value: text, revision},
    ]);
  });

  test('lets exactly one of many concurrent writers win', async () => {
    const {store} = await open();
    const absent = [{key: '/head', revision: 0}];
    const outcomes = await Promise.all(
      Array.from({length: 20}, (_, writer) =>
        store.transact(absent, [put('/head', String(writer))]),
      ),
    );
    const winner = outcomes.findIndex(one => one.succeeded);
    const [head] = (await store.readPrefix('/head')).values;
    assert.is(outcomes.filter(one => one.succeeded).length, 1);
    assert.is(head?.value, String(winner));
  });

  test('writes nothing when one condition of several fails', async () => {
    const {store} = await open();
    const {revision} = await store.transact([], [put('/a', '1')]);
    const conditions = [
      {key: '/a', revision},
      {key: '/b', revision: 7},
    ];
    const outcome = await store.transact(conditions, [put('/a', '2')]);
    const [value] = (await store.readPrefix('/a')).values;
    assert.is(outcome.succeeded, false);
    assert.is(value?.value, '1');
  });

  test('deletes only the named keys', async () => {
    const {store} = await open();
    const keys = ['/j/1', '/j/2', '/j/22', '/j/3'];
    await store.transact(
      [],
      keys.map(key => put(key, '')),
    );
    const removals = ['/j/1', '/j/2', '/none'].map(key => ({
      kind: 'delete' as const,
      key,
    }));
    await store.transact([], [...removals, put('/s', '')]);
    const left = (await store.readPrefix('/')).values.map(one => one.key);
    assert.equal(left, ['/j/22', '/j/3', '/s']);
  });
}

function declareLeaseTests(test: Declare, open: Open): void {
  test('deletes the keys of a revoked lease, and no others', async () => {
    const {store} = await open();
    const lease = await store.grantLease(LEASE_MILLISECONDS);
    await store.transact([], [put('/l', '', lease.id), put('/k', '')]);
    assert.is(await store.renewLease(lease.id), true);
    await store.revokeLease(lease.id);
    const left = (await store.readPrefix('/')).values.map(one => one.key);
    assert.equal(left, ['/k']);
    assert.is(await store.renewLease(lease.id), false);
  });

  test('keeps a value that was overwritten without the lease', async () => {
    const {store} = await open();
    const lease = await store.grantLease(LEASE_MILLISECONDS);
    await store.transact([], [put('/l', '1', lease.id)]);
    await store.transact([], [put('/l', '2')]);
    await store.revokeLease(lease.id);
    assert.is((await store.readPrefix('/l')).values[0]?.value, '2');
  });
}

function declareWatchTests(test: Declare, open: Open): void {
  test('report changes from a revision onwards, in order', async () => {
    const {store} = await open();
    await store.transact([], [put('/w/old', '0')]);
    const first = await store.transact([], [put('/w/a', '1')]);
    const stopping = new AbortController();
    const changes = store.watch('/w/', first.revision, stopping.signal);
    const seen = collect(changes, 3);
    await store.transact([], [put('/w/b', '2'), put('/other', '')]);
    const removal = {kind: 'delete' as const, key: '/w/a'};
    await store.transact([], [removal]);
    assert.equal(
      (await seen).map(({key, value}) => [key, value]),
      [
        ['/w/a', '1'],
        ['/w/b', '2'],
        ['/w/a', undefined],
      ],
    );
    stopping.abort();
  });

  test('end when their connection is lost', async () => {
    const {store, dropWatches} = await open();
    const changes = store.watch('/w/', 1, new AbortController().signal);
    const seen = collect(changes, Infinity);
    await store.transact([], [put('/w/a', '1')]);
    await dropWatches();
    assert.ok((await seen).length <= 1);
  });

  test('that receive no events report nothing, while reads see changes', async () => {
    const {store, silenceWatches} = await open();
    await silenceWatches();
    const stopping = new AbortController();
    const seen = collect(store.watch('/w/', 1, stopping.signal), Infinity);
    await store.transact([], [put('/w/a', '1')]);
    assert.is((await store.readPrefix('/w/')).values.length, 1);
    stopping.abort();
    assert.equal(await seen, []);
  });
}

function declareFaultTests(test: Declare, open: Open): void {
  for (const {fault, kinds} of WRITE_FAULTS) {
    test(`a write while ${fault} fails with a truthful kind`, async () => {
      const {store, injectFault, clearFault} = await open();
      await injectFault(fault);
      const kind = await failureOf(store.transact([], [put('/f', '')]));
      await clearFault();
      const isWritten = (await store.readPrefix('/f')).values.length > 0;
      assert.ok((kinds as readonly string[]).includes(kind), kind);
      assert.ok(!(kind === 'store-unavailable' && isWritten));
      if (fault === 'reply-lost') assert.ok(isWritten);
    });

    test(`a read while ${fault} fails as store-unavailable`, async () => {
      const {store, injectFault} = await open();
      await injectFault(fault);
      assert.is(await failureOf(store.readPrefix('/f')), 'store-unavailable');
    });
  }
}

function declareTransferTests(test: Declare, open: Open): void {
  test('reads an answer that keeps arriving past the limit of a call', async () => {
    const {store, injectFault} = await open();
    const text = 'x'.repeat(LARGE_VALUE_BYTES);
    await store.transact([], [put('/t', text)]);
    await injectFault('slow-link');
    assert.is((await store.readPrefix('/t')).values[0]?.value, text);
  });

  test('gives up an answer that stops arriving', async () => {
    const {store, injectFault} = await open();
    await store.transact([], [put('/t', 'x'.repeat(LARGE_VALUE_BYTES))]);
    await injectFault('stalled');
    assert.is(await failureOf(store.readPrefix('/t')), 'store-unavailable');
  });
}

async function failureOf(work: Promise<unknown>): Promise<string> {
  try {
    await work;
    return 'none';
  } catch (thrown) {
    return toChicoryspringError(thrown).kind;
  }
}

/** Collects changes until there are enough or the watch ends. */
async function collect(
  changes: AsyncIterable<readonly StoreChange[]>,
  count: number,
): Promise<readonly StoreChange[]> {
  const seen: StoreChange[] = [];
  try {
    for await (const some of changes) {
      seen.push(...some);
      if (seen.length >= count) break;
    }
  } catch {
    // A lost connection may end the watch with an error.
  }
  return seen;
}
