import type {Clock} from '@chicoryspring/contracts';
import type {StateLog} from '@chicoryspring/observability';

/** Time between two lines on a shard whose cause is the same. */
const MIN_INTERVAL_MILLISECONDS = 1_000;
/** Number of agents that a line names; it counts the others. */
const MAX_NAMES = 5;

interface ShardWait {
  /** Whether the list of the agents that may have runs is known. */
  readonly isListed: boolean;
  /** Agents whose reports are missing. */
  readonly agents: readonly string[];
  /** Owners of the shard whose runs are looked for. */
  readonly earlierOwners: readonly string[];
  /** Those of them that may not know this entry, so that their grace is waited out. */
  readonly unawareOwners: readonly string[];
  /** Local instant at which the wait for them is over. */
  readonly deadline: number;
}

interface LoggedWait {
  readonly cause: string;
  readonly agents: string;
  readonly mayLogAt: number;
}

/** Logs what a gained shard waits for before its tasks may be placed. */
export class ShardWaitLog {
  /** Instants of the gains of the shards that wait, and their last lines. */
  private readonly gainedAt = new Map<number, number>();
  private readonly logged = new Map<number, LoggedWait>();

  constructor(
    private readonly clock: Clock,
    private readonly log: StateLog,
  ) {}

  shardGained(shard: number): void {
    this.gainedAt.set(shard, this.clock.now());
    this.logged.delete(shard);
  }

  shardLost(shard: number): void {
    this.gainedAt.delete(shard);
    this.logged.delete(shard);
  }

  /** Records that the tasks of the shard may be placed. */
  reconciled(shard: number): void {
    const gainedAt = this.gainedAt.get(shard);
    if (gainedAt === undefined) return;
    const waitedMilliseconds = Math.round(this.clock.now() - gainedAt);
    this.log.change('shard reconciled', {shard, waitedMilliseconds});
    this.shardLost(shard);
  }

  /** Logs the cause of the wait if it has changed. */
  waiting(
    shard: number,
    {isListed, agents, earlierOwners, unawareOwners, deadline}: ShardWait,
  ): void {
    const now = this.clock.now();
    const cause = isListed ? 'agents without a report' : 'no list of agents';
    const last = this.logged.get(shard);
    const joined = agents.join();
    if (last?.cause === cause) {
      if (last.agents === joined || now < last.mayLogAt) return;
    }
    const mayLogAt = now + MIN_INTERVAL_MILLISECONDS;
    this.logged.set(shard, {cause, agents: joined, mayLogAt});
    this.log.change('shard not reconciled', {
      shard,
      cause,
      agentCount: agents.length,
      agents: agents.slice(0, MAX_NAMES).join(),
      earlierOwners: earlierOwners.join(),
      unawareOwners: unawareOwners.join(),
      remainingMilliseconds: Math.round(deadline - now),
    });
  }
}
