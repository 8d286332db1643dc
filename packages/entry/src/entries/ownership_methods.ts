import {
  entryIntroducedMethod,
  graceBlocksMethod,
  storeContactMethod,
  type LinkMethodRegistry,
} from '@chicoryspring/links';
import type {OwnershipMethodsParts} from './ownership_methods_parts_types.js';

/** Registers the link methods by which entries keep out of each other's shards. */
export function serveOwnershipMethods(
  {clock, ownership}: OwnershipMethodsParts,
  registry: LinkMethodRegistry,
): void {
  const {introductions, storeContact, graceBlocks} = ownership;
  registry.register(storeContactMethod, async () => storeContact.answer());
  registry.register(entryIntroducedMethod, async introduction => {
    introductions.record(introduction.entry, introduction.registration);
    return null;
  });
  registry.register(graceBlocksMethod, async ({owners}) => {
    const now = clock.now();
    const blocks = owners.flatMap(owner => {
      const block = graceBlocks.blockOf(owner);
      if (!block) return [];
      const sinceMilliseconds = now - block.since;
      const untilMilliseconds = now - block.until;
      return [{owner, sinceMilliseconds, untilMilliseconds}];
    });
    return {blocks};
  });
}
