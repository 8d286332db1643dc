import type {PendingChange} from '../commit/pending_change_types.js';
import type {ShardRecord} from '../record/shard_record_types.js';

/**
 * A change in flight: the result for its caller and the end of its write.
 *
 * The caller may be rejected at its deadline while the write continues. The
 * next change of the key waits for the end of the write.
 */
export class ChangeInFlight {
  readonly result: Promise<ShardRecord | undefined>;
  readonly writeEnded: Promise<void>;
  readonly callbacks: Pick<
    PendingChange,
    'resolve' | 'reject' | 'rejectCaller'
  >;

  constructor(record: ShardRecord | undefined) {
    let endWrite: () => void = () => undefined;
    let resolveResult: () => void = () => undefined;
    let rejectResult: (error: Error) => void = () => undefined;
    this.writeEnded = new Promise(resolve => (endWrite = resolve));
    this.result = new Promise((resolve, reject) => {
      resolveResult = () => resolve(record);
      rejectResult = reject;
    });
    this.callbacks = {
      resolve: () => {
        resolveResult();
        endWrite();
      },
      reject: error => {
        rejectResult(error);
        endWrite();
      },
      rejectCaller: error => rejectResult(error),
    };
  }

  /** Creates the result of a change that has nothing to write. */
  static unchanged(record: ShardRecord | undefined): ChangeInFlight {
    const change = new ChangeInFlight(record);
    change.callbacks.resolve();
    return change;
  }
}
