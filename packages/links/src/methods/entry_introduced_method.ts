import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface EntryIntroduction {
  /** Name of the entry that knows the receiver. */
  readonly entry: string;
  /** Registration under which it knows the receiver. */
  readonly registration: string;
}

/**
 * Entry to entry, as a notification: the sender has read the registration of the
 * receiver. From then on it asks the receiver before it renews without its lease.
 */
export const entryIntroducedMethod: LinkMethod<EntryIntroduction, null> = {
  name: 'entry.introduced',
  input: v.object({entry: v.string(), registration: v.string()}),
  result: v.null(),
};
