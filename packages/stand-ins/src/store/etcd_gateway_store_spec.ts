import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import * as assert from 'uvu/assert';
import {toChicoryspringError} from '@chicoryspring/contracts';
import {EtcdGatewayStore} from '@chicoryspring/store';
import {describeStoreContract} from '@chicoryspring/store/spec/store_contract.js';
import {describe} from '@chicoryspring/testing';
import {StoreStandIn} from './store_stand_in.js';

/** Limit of a call in these tests; a slow store takes far longer. */
const CALL_MILLISECONDS = 200;
const SLOW_MILLISECONDS = 1_000;

const STATUSES = [
  {status: 400, kind: 'store-unavailable'},
  {status: 404, kind: 'store-unavailable'},
  {status: 429, kind: 'store-unavailable'},
  {status: 408, kind: 'store-outcome-unknown'},
  {status: 500, kind: 'store-outcome-unknown'},
  {status: 503, kind: 'store-outcome-unknown'},
  {status: 504, kind: 'store-outcome-unknown'},
] as const;

async function open() {
  const standIn = new StoreStandIn();
  standIn.server.listen(0, '127.0.0.1');
  await once(standIn.server, 'listening');
  const {port} = standIn.server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  const store = new EtcdGatewayStore(url, CALL_MILLISECONDS);
  return {
    standIn,
    store,
    fail: async (fault: 'down' | 'slow' | 'reply-lost') =>
      void standIn.setFault({
        fault,
        probability: 1,
        delayMilliseconds: SLOW_MILLISECONDS,
      }),
    mend: async () => void standIn.setFault({fault: 'none'}),
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

describeStoreContract('etcd gateway', open);

describe('etcd gateway failures', () => {
  describe('of a write', test => {
    for (const {status, kind} of STATUSES) {
      test(`status ${status} is told as ${kind}`, async () => {
        const {standIn, store, close} = await open();
        standIn.setFault({fault: 'status', status});
        const put = {kind: 'put' as const, key: '/a', value: ''};
        const failure = await store.transact([], [put]).catch(thrown => thrown);
        assert.is(toChicoryspringError(failure).kind, kind);
        await close();
      });
    }

    test('to a closed port is told as store-unavailable', async () => {
      const {standIn, store, close} = await open();
      standIn.server.close();
      standIn.server.closeAllConnections();
      const failure = await store.grantLease(1).catch(thrown => thrown);
      assert.is(toChicoryspringError(failure).kind, 'store-unavailable');
      await close();
    });
  });

  describe('of many calls', test => {
    test('are counted by kind and result', async () => {
      const {store, fail, close} = await open();
      await store.readPrefix('/');
      await fail('reply-lost');
      await store.readPrefix('/').catch(() => undefined);
      assert.equal(Object.fromEntries(store.callCounts), {
        'read.answered': 1,
        'read.failed': 1,
      });
      await close();
    });

    test('beyond the budget are delayed, then refused unsent', async () => {
      const {store, close} = await open();
      const calls = Array.from({length: 300}, () => store.readPrefix('/none'));
      const settled = await Promise.allSettled(calls);
      const refused = settled.filter(one => one.status === 'rejected').length;
      assert.is(store.callCounts.get('read.refused') ?? 0, refused);
      assert.is(store.callCounts.get('read.answered'), 300 - refused);
      assert.ok(refused > 0);
      await close();
    });
  });
});
