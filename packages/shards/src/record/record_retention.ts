import type {Clock} from '@chicoryspring/contracts';
import type {ShardTable} from '../ownership/shard_table.js';
import type {ShardRecord} from './shard_record_types.js';

/** Time between two scans for records whose retention has expired. */
const SCAN_INTERVAL_MILLISECONDS = 10_000;

/** Deletes the records of the owned shards after their retention. */
export class RecordRetention {
  constructor(
    private readonly table: Pick<ShardTable, 'all' | 'update'>,
    private readonly clock: Clock,
  ) {}

  /** The background loop, which runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = this.clock.now();
      const next = now + SCAN_INTERVAL_MILLISECONDS;
      await this.deleteExpired(now, next);
      await this.clock.sleepUntil(next, signal);
    }
  }

  /** Tries each deletion once; the next scan finds the records that are left. */
  private async deleteExpired(now: number, deadline: number): Promise<void> {
    const expired = this.table.all().filter(record => isExpired(record, now));
    const deletions = expired.map(({key}) =>
      this.deleteIfExpired(key, now, deadline),
    );
    await Promise.allSettled(deletions);
  }

  private async deleteIfExpired(
    key: string,
    now: number,
    deadline: number,
  ): Promise<void> {
    const change = (current: ShardRecord | undefined) =>
      current && isExpired(current, now) ? undefined : current;
    await this.table.update(key, change, deadline);
  }
}

function isExpired(record: ShardRecord, now: number): boolean {
  return (record.retentionDeadline ?? Infinity) <= now;
}
