import type {Store} from '../store/store_types.js';

/** A store under test and the faults that can be set on it. */
export interface StoreHarness {
  readonly store: Store;
  /** Each write from now on fails in the named way. */
  readonly injectFault: (fault: StoreFaultName) => Promise<void>;
  /** Ends the fault. */
  readonly clearFault: () => Promise<void>;
  readonly silenceWatches: () => Promise<void>;
  readonly dropWatches: () => Promise<void>;
  readonly close: () => Promise<void>;
}

type StoreFaultName = 'down' | 'slow' | 'reply-lost';
