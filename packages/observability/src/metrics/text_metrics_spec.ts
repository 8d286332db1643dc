import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {METRICS_TABLE} from './metrics_table.js';
import {TextMetrics} from './text_metrics.js';

describe('text metrics', () => {
  describe('when scraped', test => {
    test('contain every metric of the table', async () => {
      const text = await new TextMetrics().render();
      for (const name of Object.keys(METRICS_TABLE)) {
        const published = `chicoryspring_${name.replaceAll('.', '_')}`;
        assert.ok(text.includes(`# TYPE ${published} `), name);
      }
    });

    test('contain counters, gauges and histograms with their tags', async () => {
      const metrics = new TextMetrics();
      metrics.increment('entry.jobs', {event: 'accepted'}, 2);
      metrics.increment('entry.jobs', {event: 'accepted'});
      metrics.gauge('entry.owned_shards', 4);
      metrics.timing('entry.job_time', 300, {state: 'complete'});
      const text = await metrics.render();
      assert.match(text, /chicoryspring_entry_jobs\{event="accepted"\} 3/);
      assert.match(text, /chicoryspring_entry_owned_shards 4/);
      assert.match(
        text,
        /entry_job_time_bucket\{le="500",state="complete"\} 1/,
      );
    });
  });
});
