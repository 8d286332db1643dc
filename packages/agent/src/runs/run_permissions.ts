import {TaskName} from '@chicoryspring/contracts';
import {DomainsOutOfService} from '@chicoryspring/failure-domains';
import type {Link} from '@chicoryspring/links';
import {ShardHash} from '@chicoryspring/shards';

/**
 * Least time after the end of its permission after which an owner gives runs up:
 * the lease of the worker.
 */
const LEASE_MILLISECONDS = 6_000;

interface RunPermission {
  readonly epoch: number;
  readonly link: Link;
  /** Local instant until which leases may be renewed for runs of the shard. */
  readonly deadline: number;
  /** Whether the owner held its lease in the store when it renewed. */
  readonly isLeaseHeld: boolean;
  /** Local instant up to which start orders of the shard may be given up. */
  readonly givenUpInstant: number;
}

interface RunPermissionRenewal {
  readonly shards: readonly {readonly shard: number; readonly epoch: number}[];
  readonly shardCount: number;
  readonly deadline: number;
  readonly isLeaseHeld: boolean;
  /** Configuration revision that is active at the owner. */
  readonly revision: number;
  /** Failure domains that are out of service at that revision. */
  readonly domainsOut: readonly string[];
}

/**
 * The newest owner of each shard that was seen, and its run permission; and the
 * failure domains in which no owner permits a run to begin.
 */
export class RunPermissions {
  /** Failure domains that are out of service, as any of the owners knows. */
  readonly outOfService = new DomainsOutOfService();
  private readonly permissions = new Map<number, RunPermission>();
  private shardCount = 0;

  /**
   * Renews the run permission of an owner for its shards.
   *
   * An ownership epoch below the highest that was seen is ignored. Returns
   * whether the owner or its link is new for any shard.
   */
  renew(renewal: RunPermissionRenewal, link: Link, now: number): boolean {
    let isNew = false;
    const {isLeaseHeld, revision, domainsOut} = renewal;
    this.outOfService.apply(revision, domainsOut);
    this.shardCount = renewal.shardCount;
    for (const {shard, epoch} of renewal.shards) {
      const previous = this.permissions.get(shard);
      if (previous && previous.epoch > epoch) continue;
      isNew ||= previous?.epoch !== epoch || previous.link !== link;
      const previousDeadline =
        previous?.epoch === epoch ? previous.deadline : 0;
      const deadline = Math.max(previousDeadline, renewal.deadline);
      const givenUpInstant = givenUpInstantAt(now, previous);
      const permission = {epoch, link, deadline, isLeaseHeld, givenUpInstant};
      this.permissions.set(shard, permission);
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

  /** Whether the owner of a task held its lease in the store when it renewed last. */
  isRenewedUnderLease(task: string): boolean {
    return this.permissionOf(task)?.isLeaseHeld === true;
  }

  /** End of the run permission of a task; undefined if no owner gave one. */
  deadlineOf(task: string): number | undefined {
    return this.permissionOf(task)?.deadline;
  }

  /**
   * Whether the owner of a task may have given up an order that was accepted at a
   * local instant, since there was no permission for as long as a lease.
   */
  isGivenUp(task: string, acceptedAt: number): boolean {
    return acceptedAt < (this.permissionOf(task)?.givenUpInstant ?? 0);
  }

  private permissionOf(task: string): RunPermission | undefined {
    const job = TaskName.parseJobId(task);
    if (job === undefined || this.shardCount === 0) return undefined;
    return this.permissions.get(ShardHash.forKey(job, this.shardCount));
  }
}

/** The same for a permission that is renewed now. */
function givenUpInstantAt(now: number, previous?: RunPermission): number {
  if (!previous) return 0;
  const isGap = now >= previous.deadline + LEASE_MILLISECONDS;
  return isGap ? now : previous.givenUpInstant;
}
