import type {ConfigurationSource} from '@chicoryspring/configuration';
import type {Clock} from '@chicoryspring/contracts';
import type {InstrumentedStore} from './instrumented_store_types.js';

/** Replacements for parts of an entry; the default part where one is absent. */
export interface EntryParts {
  readonly store?: InstrumentedStore;
  readonly configuration?: (clock: Clock) => ConfigurationSource;
}
