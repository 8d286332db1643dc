import type {OwnerFixture} from './owner_fixture.js';
import type {UnreliableAgentLink} from './unreliable_agent_link.js';
import type {UnreliableStore} from './unreliable_store.js';

/** An entry in a soak, its connection to the store and those of the agents. */
export interface RivalEntry {
  readonly owner: OwnerFixture;
  readonly store: UnreliableStore;
  readonly links: readonly UnreliableAgentLink[];
}
