import type {PendingChange} from '../commit/pending_change_types.js';
import type {ShardRecord} from '../record/shard_record_types.js';

/**
 * A change in flight: the result for its caller and the end of its write.
 *
 * The caller may be rejected at its deadline while the write continues. The
 * next change of the key waits for the end of the write.
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

  /** Creates the result of a change that has nothing to write. */
  static unchanged(record: ShardRecord | undefined): AppliedChange {
    const applied = new AppliedChange(record);
    applied.callbacks.resolve();
    return applied;
  }
}
