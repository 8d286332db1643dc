import type {JournalRecord} from '../record/journal_record_types.js';

/** A journal entry or a snapshot: changed records and deleted keys. */
export interface JournalEntry {
  /**
   * Unique for each commit. When the reply to a write is lost, reading the id
   * back shows whether the write took effect.
   */
  readonly commitId: string;
  /**
   * Position in the journal; in a snapshot, the position of the last journal
   * entry that it contains.
   */
  readonly sequence: number;
  readonly records: readonly JournalRecord[];
  readonly dropped: readonly string[];
}
