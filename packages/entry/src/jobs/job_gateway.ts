import {
  ChicoryspringError,
  toChicoryspringError,
  type Clock,
  type Job,
  type JobStatus,
} from '@chicoryspring/contracts';
import {jobsPendingMethod, type LinkMethodRegistry} from '@chicoryspring/links';
import type {ShardTable} from '@chicoryspring/shards';
import type {EntryPeers} from '../entries/entry_peers.js';
import type {LiveState} from '../live_state/live_state.js';
import type {OperationRouter} from '../operations/operation_router.js';
import type {JobApi} from './job_api_types.js';
import {jobOperations} from './job_operations.js';
import type {JobOwner} from './job_owner.js';
import {sumPendingCounts} from './pending_count_sum.js';

const RETRY_INTERVAL_MILLISECONDS = 100;
/** Time limit of one entry for counting. */
const COUNT_TIMEOUT_MILLISECONDS = 500;

/** Routes job operations to the entries that own the jobs. */
export class JobGateway implements JobApi {
  constructor(
    private readonly operations: OperationRouter,
    private readonly owner: JobOwner,
    private readonly table: Pick<ShardTable, 'ownedShards' | 'shardCount'>,
    private readonly live: LiveState,
    private readonly peers: EntryPeers,
    private readonly clock: Clock,
  ) {
    const {submit, status, cancel} = jobOperations;
    operations.serve(submit, (job, deadline) => owner.submit(job, deadline));
    operations.serve(status, async ({id}) => owner.status(id));
    operations.serve(cancel, ({id}) => owner.cancel(id));
  }

  /** Serves the calls of other entries about the jobs owned here. */
  serve(registry: LinkMethodRegistry): void {
    registry.register(jobsPendingMethod, async ({queue}) =>
      this.countOwned(queue),
    );
  }

  async submit(job: Job, deadline: number): Promise<JobStatus> {
    const {revision} = this.live.configuration.current;
    const terms = this.live.schedulingParametersOf(job.queue);
    const submission = {...job, received: {revision, terms}};
    return await this.operations.run(
      jobOperations.submit,
      submission,
      deadline,
    );
  }

  async status(id: string, deadline: number): Promise<JobStatus> {
    return await this.operations.run(jobOperations.status, {id}, deadline);
  }

  async cancel(id: string, deadline: number): Promise<JobStatus> {
    return await this.operations.run(jobOperations.cancel, {id}, deadline);
  }

  /** Retries until each shard owner has answered or the deadline passes. */
  async pending(queue: string, deadline: number): Promise<number> {
    for (;;) {
      try {
        return await this.countOnAllEntries(queue);
      } catch (thrown) {
        const next = this.clock.now() + RETRY_INTERVAL_MILLISECONDS;
        if (next >= deadline) throw toChicoryspringError(thrown);
        await this.clock.sleepUntil(next);
      }
    }
  }

  private async countOnAllEntries(queue: string): Promise<number> {
    const {shardOwners} = this.live;
    if (shardOwners.length === 0) {
      throw new ChicoryspringError('shard-unowned', 'no shard has an owner');
    }
    const counts = await Promise.all(
      shardOwners.map(entry => this.countAt(entry, queue)),
    );
    return sumPendingCounts(counts, this.table.shardCount);
  }

  private countOwned(queue: string) {
    const {ownedShards: shards} = this.table;
    return {pending: this.owner.pending(queue), shards};
  }

  private async countAt(entry: string, queue: string) {
    if (entry === this.peers.ownName) return this.countOwned(queue);
    const link = this.peers.linkTo(entry);
    if (!link) {
      throw new ChicoryspringError('peer-unreachable', `no link to ${entry}`);
    }
    const deadline = this.clock.now() + COUNT_TIMEOUT_MILLISECONDS;
    return await link.call(jobsPendingMethod, {queue}, deadline);
  }
}
