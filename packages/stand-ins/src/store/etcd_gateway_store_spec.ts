import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import * as assert from 'uvu/assert';
import {toChicoryspringError, type Clock} from '@chicoryspring/contracts';
import {EtcdGatewayStore} from '@chicoryspring/store';
import {describeStoreContract} from '@chicoryspring/store/spec/store_contract.js';
import {ManualClock, describe} from '@chicoryspring/testing';
import type {StoreFault} from './store_fault_types.js';
import {StoreStandIn} from './store_stand_in.js';

/** Limit of a call in these tests; a slow store takes far longer. */
const CALL_MILLISECONDS = 1_500;
const SLOW_MILLISECONDS = 3_000;
/** Longest wait for the budget of calls. */
const BUDGET_MILLISECONDS = 200;
/** Limit of a call where only the budget is tested. */
const UNLIMITED_MILLISECONDS = 120_000;
/** The budget of a process: calls at once, and those it lets wait 200 ms. */
const BURST_CALLS = 200;
const DELAYED_CALLS = 40;

const STATUSES = [
  {status: 400, kind: 'store-unavailable'},
  {status: 404, kind: 'store-unavailable'},
  {status: 429, kind: 'store-unavailable'},
  {status: 408, kind: 'store-outcome-unknown'},
  {status: 500, kind: 'store-outcome-unknown'},
  {status: 503, kind: 'store-outcome-unknown'},
  {status: 504, kind: 'store-outcome-unknown'},
] as const;

async function open(budgetMilliseconds = BUDGET_MILLISECONDS, clock?: Clock) {
  const standIn = new StoreStandIn();
  standIn.server.listen(0, '127.0.0.1');
  await once(standIn.server, 'listening');
  const {port} = standIn.server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  const store = new EtcdGatewayStore(
    url,
    clock ? UNLIMITED_MILLISECONDS : CALL_MILLISECONDS,
    budgetMilliseconds,
    clock,
  );
  return {
    standIn,
    store,
    injectFault: async (fault: StoreFault['fault']) =>
      void standIn.setFault({
        fault,
        probability: 1,
        delayMilliseconds: SLOW_MILLISECONDS,
      }),
    clearFault: async () => void standIn.setFault({fault: 'none'}),
    silenceWatches: async () => void standIn.setFault({fault: 'watch-silent'}),
    dropWatches: async () => void standIn.setFault({fault: 'watch-dropped'}),
    close: async () => {
      standIn.setFault({fault: 'none'});
      await store.close();
      standIn.server.closeAllConnections();
      standIn.server.close();
    },
  };
}

const opened: Awaited<ReturnType<typeof open>>[] = [];

async function openTracked(budgetMilliseconds?: number, clock?: Clock) {
  const harness = await open(budgetMilliseconds, clock);
  opened.push(harness);
  return harness;
}

async function closeAll(): Promise<void> {
  for (const harness of opened.splice(0)) await harness.close();
}

describeStoreContract('etcd gateway', () => open());

describe('etcd gateway failures', () => {
  describe('of a write', (test, hooks) => {
    hooks.after(closeAll);

    for (const {status, kind} of STATUSES) {
      test(`status ${status} is told as ${kind}`, async () => {
        const {standIn, store} = await openTracked();
        standIn.setFault({fault: 'status', status});
        const put = {kind: 'put' as const, key: '/a', value: ''};
        const failure = await store.transact([], [put]).catch(thrown => thrown);
        assert.is(toChicoryspringError(failure).kind, kind);
      });
    }

    test('to a closed port is told as store-unavailable', async () => {
      const {standIn, store} = await openTracked();
      standIn.server.close();
      standIn.server.closeAllConnections();
      const failure = await store.grantLease(1_000).catch(thrown => thrown);
      assert.is(toChicoryspringError(failure).kind, 'store-unavailable');
    });
  });

  describe('of many calls', (test, hooks) => {
    hooks.after(closeAll);

    test('are counted by kind and result', async () => {
      const {store, injectFault} = await openTracked();
      await store.readPrefix('/');
      await injectFault('reply-lost');
      await store.readPrefix('/').catch(() => undefined);
      assert.equal(Object.fromEntries(store.callCounts), {
        'read.answered': 1,
        'read.failed': 1,
      });
    });

    test('beyond the budget are delayed, then refused unsent', async () => {
      const clock = new ManualClock();
      const {store} = await openTracked(BUDGET_MILLISECONDS, clock);
      const calls = Array.from({length: 300}, () => store.readPrefix('/none'));
      const settling = Promise.allSettled(calls);
      await clock.advance(BUDGET_MILLISECONDS);
      const settled = await settling;
      const refused = settled.filter(one => one.status === 'rejected').length;
      const answered = BURST_CALLS + DELAYED_CALLS;
      assert.is(refused, 300 - answered);
      assert.is(store.callCounts.get('read.refused'), refused);
      assert.is(store.callCounts.get('read.delayed'), DELAYED_CALLS);
      assert.is(store.callCounts.get('read.answered'), answered);
    });
  });
});
