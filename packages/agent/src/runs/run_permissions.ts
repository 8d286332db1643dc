import {TaskName} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import {ShardHash} from '@chicoryspring/shards';

interface RunPermission {
  readonly epoch: number;
  readonly link: Link;
  /** Local instant until which leases may be renewed for runs of the shard. */
  readonly deadline: number;
  /** Whether the owner held its lease in the store when it renewed. */
  readonly isLeaseHeld: boolean;
}

interface RunPermissionRenewal {
  readonly shards: readonly {readonly shard: number; readonly epoch: number}[];
  readonly shardCount: number;
  readonly deadline: number;
  readonly isLeaseHeld: boolean;
}

/** The newest owner of each shard that was seen, and its run permission. */
export class RunPermissions {
  private readonly permissions = new Map<number, RunPermission>();
  private shardCount = 0;

  /**
   * Renews the run permission of an owner for its shards.
   *
   * An ownership epoch below the highest that was seen is ignored. Returns
   * whether the owner or its link is new for any shard.
   */
  renew(renewal: RunPermissionRenewal, link: Link): boolean {
    let isNew = false;
    const {isLeaseHeld} = renewal;
    this.shardCount = renewal.shardCount;
    for (const {shard, epoch} of renewal.shards) {
      const previous = this.permissions.get(shard);
      if (previous && previous.epoch > epoch) continue;
      isNew ||= previous?.epoch !== epoch || previous.link !== link;
      const previousDeadline =
        previous?.epoch === epoch ? previous.deadline : 0;
      const deadline = Math.max(previousDeadline, renewal.deadline);
      this.permissions.set(shard, {epoch, link, deadline, isLeaseHeld});
    }
    return isNew;
  }

  /** Whether the epoch is the newest ownership of the shard that was seen. */
  isNewest(shard: number, epoch: number): boolean {
    return this.permissions.get(shard)?.epoch === epoch;
  }

  /** Whether a later ownership of the shard was seen; false if not given. */
  isOutdated(shard = 0, epoch = Infinity): boolean {
    return (this.permissions.get(shard)?.epoch ?? 0) > epoch;
  }

  /** The open links to the owners, without duplicates. */
  get ownerLinks(): readonly Link[] {
    const links = new Set([...this.permissions.values()].map(({link}) => link));
    return [...links].filter(link => link.isOpen);
  }

  /**
   * Whether the permission of each owner is valid and was renewed under its
   * lease in the store, so that the shard has no later owner yet.
   */
  areUnderLease(now: number): boolean {
    return [...this.permissions.values()].every(
      one => one.isLeaseHeld && one.deadline > now,
    );
  }

  /** Whether the owner of a task permits that its runs go on. */
  isPermitted(task: string, now: number): boolean {
    return (this.deadlineOf(task) ?? 0) > now;
  }

  /** End of the run permission of a task; undefined if no owner gave one. */
  deadlineOf(task: string): number | undefined {
    const job = TaskName.parseJobId(task);
    if (job === undefined || this.shardCount === 0) return undefined;
    return this.permissions.get(ShardHash.forKey(job, this.shardCount))
      ?.deadline;
  }
}
