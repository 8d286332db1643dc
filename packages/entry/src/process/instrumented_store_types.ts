import type {Store} from '@chicoryspring/store';

/** A store as a process of the system holds it. */
export interface InstrumentedStore extends Store {
  /** Calls by `KIND.RESULT`. */
  readonly callCounts: ReadonlyMap<string, number>;
  close(): Promise<void>;
}
