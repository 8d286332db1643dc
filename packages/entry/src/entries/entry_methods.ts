import {
  configurationConfirmMethod,
  type LinkMethodRegistry,
} from '@chicoryspring/links';
import type {EntryProcess} from '../process/entry_process.js';

/** Registers the link methods for other entries, besides operations. */
export function serveEntryMethods(
  entry: EntryProcess,
  registry: LinkMethodRegistry,
): void {
  registry.register(configurationConfirmMethod, async question => {
    const {revision, failureDomain, remainingMilliseconds} = question;
    const deadline = entry.clock.now() + remainingMilliseconds;
    const {confirmation} = entry.administration;
    return await confirmation.confirmLocally(revision, failureDomain, deadline);
  });
}
