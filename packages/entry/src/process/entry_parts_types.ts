import type {ConfigurationSource} from '@chicoryspring/configuration';
import type {Clock} from '@chicoryspring/contracts';
import type {InstrumentedStore} from './instrumented_store_types.js';

/** What an entry is built from; the standard parts where one is left out. */
export interface EntryParts {
  readonly store?: InstrumentedStore;
  readonly configuration?: (clock: Clock) => ConfigurationSource;
}
