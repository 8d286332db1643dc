import {TaskName} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import {ShardHash} from '@chicoryspring/shards';

interface RunPermission {
  readonly epoch: number;
  readonly link: Link;
  /** Until when runs of the shard may be kept alive. */
  readonly deadline: number;
}

interface RunPermissionRenewal {
  readonly shards: readonly {readonly shard: number; readonly epoch: number}[];
  readonly shardCount: number;
  readonly deadline: number;
}

/** Which owner an agent obeys for each shard, and for how long. */
export class RunPermissions {
  private readonly permissions = new Map<number, RunPermission>();
  private shardCount = 0;

  /** Obeys the owner of shards; returns whether it is a new one for any. */
  renew(renewal: RunPermissionRenewal, link: Link): boolean {
    let isNew = false;
    this.shardCount = renewal.shardCount;
    for (const {shard, epoch} of renewal.shards) {
      const known = this.permissions.get(shard);
      if (known && known.epoch > epoch) continue;
      isNew ||= known?.epoch !== epoch || known.link !== link;
      const earlier = known?.epoch === epoch ? known.deadline : 0;
      const deadline = Math.max(earlier, renewal.deadline);
      this.permissions.set(shard, {epoch, link, deadline});
    }
    return isNew;
  }

  /** Whether the ownership is the newest of the shard. */
  isNewest(shard: number, epoch: number): boolean {
    return this.permissions.get(shard)?.epoch === epoch;
  }

  /** Links to the owners, each once. */
  get ownerLinks(): readonly Link[] {
    const links = new Set([...this.permissions.values()].map(({link}) => link));
    return [...links].filter(link => link.isOpen);
  }

  /** Until when a task may be kept alive; undefined while nobody said so. */
  deadlineOf(task: string): number | undefined {
    const job = TaskName.parseJobId(task);
    if (job === undefined || this.shardCount === 0) return undefined;
    return this.permissions.get(ShardHash.forKey(job, this.shardCount))
      ?.deadline;
  }
}
