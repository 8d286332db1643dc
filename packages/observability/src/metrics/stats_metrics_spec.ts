import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {StatsMetrics} from './stats_metrics.js';

const HOST = '127.0.0.1';

describe('metrics', () => {
  describe('sent to a collector', test => {
    test('arrive with prefix and tags', async () => {
      const collector = createSocket('udp4');
      collector.bind(0, HOST);
      await once(collector, 'listening');
      const received = once(collector, 'message');
      const {port} = collector.address();
      const address = {host: HOST, port};
      const metrics = await StatsMetrics.create(address, {entry: 'entry-1'});
      metrics.increment('entry.evictions', {}, 3);
      metrics.gauge('entry.owned_shards', 8);
      metrics.timing('entry.request_time', 2, {route: 'GET /healthz'});
      await metrics.close();
      const [message] = (await received) as [Buffer];
      collector.close();
      assert.equal(message.toString('utf8').trim().split('\n'), [
        'chicoryspring.entry.evictions:3|c|#entry:entry-1',
        'chicoryspring.entry.owned_shards:8|g|#entry:entry-1',
        'chicoryspring.entry.request_time:2|ms|#entry:entry-1,route:GET /healthz',
      ]);
    });

    test('are dropped without an error when no collector listens', async () => {
      const address = {host: HOST, port: 1};
      const metrics = await StatsMetrics.create(address, {});
      metrics.increment('entry.evictions');
      await metrics.close();
    });
  });
});
