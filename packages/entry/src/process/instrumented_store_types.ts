import type {Store} from '@chicoryspring/store';

/** A store that counts its calls and can be closed. */
export interface InstrumentedStore extends Store {
  /** Number of calls by `KIND.RESULT`. */
  readonly callCounts: ReadonlyMap<string, number>;
  close(): Promise<void>;
}
