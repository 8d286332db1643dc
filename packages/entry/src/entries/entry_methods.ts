import type {Clock} from '@chicoryspring/contracts';
import {
  configurationConfirmMethod,
  type LinkMethodRegistry,
} from '@chicoryspring/links';
import type {Administration} from '../administration/administration.js';
import {serveOwnershipMethods} from './ownership_methods.js';
import type {OwnershipMethodsParts} from './ownership_methods_parts_types.js';

interface EntryMethodsParts extends OwnershipMethodsParts {
  readonly administration: Administration;
  readonly clock: Clock;
}

/** Registers the link methods for other entries, besides operations. */
export function serveEntryMethods(
  entry: EntryMethodsParts,
  registry: LinkMethodRegistry,
): void {
  serveOwnershipMethods(entry, registry);
  registry.register(configurationConfirmMethod, async question => {
    const {revision, failureDomain, remainingMilliseconds} = question;
    const deadline = entry.clock.now() + remainingMilliseconds;
    const {confirmation} = entry.administration;
    return await confirmation.confirmLocally(revision, failureDomain, deadline);
  });
}
