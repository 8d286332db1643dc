import type {Store} from '../store/store_types.js';

/** A store under test, with functions that inject faults. */
export interface StoreHarness {
  readonly store: Store;
  /** Makes every further call fail in the named way. */
  readonly injectFault: (fault: StoreFaultName) => Promise<void>;
  /** Clears the fault. */
  readonly clearFault: () => Promise<void>;
  /** Withholds all events from watches, whose connections stay open. */
  readonly silenceWatches: () => Promise<void>;
  /** Ends every watch, as a lost connection does. */
  readonly dropWatches: () => Promise<void>;
  readonly close: () => Promise<void>;
}

/**
 * With `slow-link` an answer keeps arriving for longer than the time limit of a
 * call; with `stalled` it stops arriving halfway.
 */
type StoreFaultName = 'down' | 'slow' | 'reply-lost' | 'slow-link' | 'stalled';
