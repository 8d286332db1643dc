import type {JournalRecord} from './journal_record_types.js';
import type {ShardRecord} from './shard_record_types.js';

/**
 * Writes and replays the records of the journal.
 *
 * Only the progress of a job changes until it ends, and what its caller submitted
 * is far larger. An earlier release can't read the change, so it doesn't own the
 * shard rather than miss it.
 */
export class JournalRecordDifference {
  /** What the journal has to say of a record, after the one before it. */
  static between(
    previous: ShardRecord | undefined,
    next: ShardRecord,
  ): JournalRecord {
    if (previous?.kind !== 'job' || next.kind !== 'job') return next;
    const {key, progress} = next;
    const isSameJob =
      previous.job === next.job &&
      previous.terms === next.terms &&
      previous.state === next.state &&
      previous.acceptedInstant === next.acceptedInstant &&
      previous.retentionDeadline === next.retentionDeadline;
    return isSameJob ? {kind: 'job-change', key, progress} : next;
  }

  /** The record that results; undefined if the one before it is missing. */
  static apply(
    previous: ShardRecord | undefined,
    change: JournalRecord,
  ): ShardRecord | undefined {
    if (change.kind !== 'job-change') return change;
    if (previous?.kind !== 'job') return undefined;
    return {...previous, progress: change.progress};
  }
}
