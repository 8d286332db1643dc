import type {PendingChange} from '../commit/pending_change_types.js';
import type {ShardRecord} from '../record/shard_record_types.js';

/**
 * A change in progress: the answer to its caller and the end of its write.
 *
 * The answer may come at the caller's deadline while the write goes on; the
 * next change of the key waits for the end.
 */
export class AppliedChange {
  readonly answer: Promise<ShardRecord | undefined>;
  readonly ended: Promise<void>;
  readonly callbacks: Pick<PendingChange, 'resolve' | 'reject' | 'answerLate'>;

  constructor(record: ShardRecord | undefined) {
    let end: () => void = () => undefined;
    let accept: () => void = () => undefined;
    let refuse: (error: Error) => void = () => undefined;
    this.ended = new Promise(resolve => (end = resolve));
    this.answer = new Promise((resolve, reject) => {
      accept = () => resolve(record);
      refuse = reject;
    });
    this.callbacks = {
      resolve: () => {
        accept();
        end();
      },
      reject: error => {
        refuse(error);
        end();
      },
      answerLate: error => refuse(error),
    };
  }

  /** A change that found nothing to write. */
  static unchanged(record: ShardRecord | undefined): AppliedChange {
    const applied = new AppliedChange(record);
    applied.callbacks.resolve();
    return applied;
  }
}
