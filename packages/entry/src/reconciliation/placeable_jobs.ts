import type {OwnedJob} from '@chicoryspring/jobs';
import type {ShardTable} from '@chicoryspring/shards';
import type {OwnedJobDirectory} from '../jobs/owned_job_directory.js';
import type {RunPermissionRenewer} from '../jobs/run_permission_renewer.js';

interface PlaceableJobsParts {
  readonly table: () => ShardTable;
  readonly jobs: Pick<OwnedJobDirectory, 'all' | 'isInherited'>;
  readonly renewer: Pick<RunPermissionRenewer, 'isReconciled' | 'isListed'>;
}

/**
 * The unfinished jobs whose tasks may be placed, since it is known where each of
 * them may be running.
 *
 * A job that was accepted after the gain of its shard has no run of an earlier owner,
 * so it doesn't wait until the shard is reconciled. But the next owner has to find
 * every agent that gets a run on the list of the shard, which has to be known first.
 */
export class PlaceableJobs {
  constructor(private readonly parts: PlaceableJobsParts) {}

  get all(): readonly OwnedJob[] {
    const {table, jobs, renewer} = this.parts;
    const {ownedShards} = table();
    const reconciled = new Set(
      ownedShards.filter(shard => renewer.isReconciled(shard)),
    );
    const listed = new Set(
      ownedShards.filter(shard => renewer.isListed(shard)),
    );
    return jobs.all.filter(({id}) => {
      const shard = table().shardOf(id);
      if (reconciled.has(shard)) return true;
      return listed.has(shard) && !jobs.isInherited(id);
    });
  }
}
