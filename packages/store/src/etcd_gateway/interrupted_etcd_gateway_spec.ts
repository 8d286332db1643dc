import * as assert from 'uvu/assert';
import {toChicoryspringError} from '@chicoryspring/contracts';
import {InterruptedServer, describe} from '@chicoryspring/testing';
import {EtcdGatewayStore} from './etcd_gateway_store.js';

const PUT = {kind: 'put' as const, key: '/a', value: ''};

async function outcomeOf(store: EtcdGatewayStore): Promise<string> {
  const failure = await store.transact([], [PUT]).catch(thrown => thrown);
  return toChicoryspringError(failure).answer.outcome;
}

describe('etcd gateway store', () => {
  describe('whose path rejects packets', test => {
    test('calls a write that was sent unknown, and one that was not not-run', async () => {
      const server = await InterruptedServer.listen('ECONNREFUSED');
      const store = new EtcdGatewayStore(server.url);
      const sent = await outcomeOf(store);
      await server.close();
      const unsent = await outcomeOf(store);
      await store.close();
      assert.is(server.requestCount, 1);
      assert.equal({sent, unsent}, {sent: 'unknown', unsent: 'not-run'});
    });
  });
});
