import {
  entryIntroducedMethod,
  storeContactMethod,
  type LinkMethodRegistry,
} from '@chicoryspring/links';
import type {OwnershipMethodsParts} from './ownership_methods_parts_types.js';

/** Registers the link methods by which entries keep out of each other's shards. */
export function serveOwnershipMethods(
  entry: OwnershipMethodsParts,
  registry: LinkMethodRegistry,
): void {
  registry.register(storeContactMethod, async () => ({
    // The lease may outlast the last answer of the store.
    hasContact: entry.live.contactMilliseconds > 0 || entry.isMember,
    ownedShards: entry.table.ownerships,
  }));
  registry.register(entryIntroducedMethod, async introduction => {
    entry.introductions.record(introduction.entry, introduction.registration);
    return null;
  });
}
