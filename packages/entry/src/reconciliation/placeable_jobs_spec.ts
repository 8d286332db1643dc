import * as assert from 'uvu/assert';
import type {OwnedJob} from '@chicoryspring/jobs';
import type {ShardTable} from '@chicoryspring/shards';
import {describe} from '@chicoryspring/testing';
import {PlaceableJobs} from './placeable_jobs.js';

const RECONCILED = 0;
const LISTED = 1;
/** The list of its agents isn't read, so that the next owner may not find them. */
const UNLISTED = 2;
const SHARDS = [RECONCILED, LISTED, UNLISTED];

/** Two jobs of each shard, one of which the shard had at its gain. */
function open(): PlaceableJobs {
  const ids = SHARDS.flatMap(shard => [`${shard} inherited`, `${shard} new`]);
  const table = {
    ownedShards: SHARDS,
    shardOf: (id: string) => Number(id.split(' ')[0]),
  };
  return new PlaceableJobs({
    table: () => table as unknown as ShardTable,
    jobs: {
      all: ids.map(id => ({id}) as OwnedJob),
      isInherited: id => id.endsWith('inherited'),
    },
    renewer: {
      isReconciled: shard => shard === RECONCILED,
      isListed: shard => shard !== UNLISTED,
    },
  });
}

describe('the jobs whose tasks may be placed', () => {
  describe('of gained shards', test => {
    test('are the new ones of listed shards, and all of reconciled ones', () => {
      const ids = open().all.map(one => one.id);
      const reconciled = [`${RECONCILED} inherited`, `${RECONCILED} new`];
      assert.equal(ids, [...reconciled, `${LISTED} new`]);
    });
  });
});
