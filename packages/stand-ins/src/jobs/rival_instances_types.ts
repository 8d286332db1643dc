import type {OwnerFixture} from './owner_fixture.js';
import type {RivalWorker} from './rival_worker_types.js';
import type {UnreliableAgentLink} from './unreliable_agent_link.js';

/** The agents of a soak with their workers, and how they fail. */
export interface RivalInstances {
  /** Every incarnation of the workers, in the order of their starts. */
  readonly workers: readonly RivalWorker[];
  /** Links every agent to an owner. */
  linkTo(owner: OwnerFixture): readonly UnreliableAgentLink[];
  /** Perhaps lets one fail; to be called in each step with trouble. */
  maybeFail(): void;
  /** Ends the trouble. */
  recover(): void;
}
