import {TaskName} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import {ShardHash} from '@chicoryspring/shards';

interface HeldShard {
  readonly epoch: number;
  readonly link: Link;
  /** Until when runs of the shard may be kept alive. */
  readonly deadline: number;
}

interface Holding {
  readonly shards: readonly {readonly shard: number; readonly epoch: number}[];
  readonly shardCount: number;
  readonly deadline: number;
}

/** Which owner an agent obeys for each shard, and for how long. */
export class ShardPermissions {
  private readonly held = new Map<number, HeldShard>();
  private shardCount = 0;

  /** Obeys the owner of shards; returns whether it is a new one for any. */
  hold(holding: Holding, link: Link): boolean {
    let isNew = false;
    this.shardCount = holding.shardCount;
    for (const {shard, epoch} of holding.shards) {
      const known = this.held.get(shard);
      if (known && known.epoch > epoch) continue;
      isNew ||= known?.epoch !== epoch || known.link !== link;
      const earlier = known?.epoch === epoch ? known.deadline : 0;
      const deadline = Math.max(earlier, holding.deadline);
      this.held.set(shard, {epoch, link, deadline});
    }
    return isNew;
  }

  /** Whether the ownership is the newest of the shard. */
  isNewest(shard: number, epoch: number): boolean {
    return this.held.get(shard)?.epoch === epoch;
  }

  /** Links to the owners, each once. */
  get ownerLinks(): readonly Link[] {
    const links = new Set([...this.held.values()].map(({link}) => link));
    return [...links].filter(link => link.isOpen);
  }

  /** Until when a task may be kept alive; undefined while nobody said so. */
  deadlineOf(task: string): number | undefined {
    const job = TaskName.parseJobId(task);
    if (job === undefined || this.shardCount === 0) return undefined;
    return this.held.get(ShardHash.forKey(job, this.shardCount))?.deadline;
  }
}
