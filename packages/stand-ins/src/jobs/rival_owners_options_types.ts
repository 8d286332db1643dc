import type {Clock} from '@chicoryspring/contracts';
import type {JobFleetFixture} from './job_fleet_fixture.js';
import type {OwnershipChanges} from './ownership_changes_types.js';
import type {RivalEntry} from './rival_entry_types.js';
import type {RivalInstances} from './rival_instances_types.js';

/** The trouble of a soak of rival owners. */
export interface RivalOwnersOptions {
  /** Probability, for each step, that a link is cut or becomes slow. */
  readonly linkFaultProbability: number;
  /** Share of the jobs with occurrences. */
  readonly occurrencesShare: number;
  /** Most by which the clock of an entry is ahead or behind. */
  readonly maxClockShiftMilliseconds: number;
  /** Whether entries may be suspended. */
  readonly suspendsEntries: boolean;
  /** The agents and workers of the fleet. */
  readonly createInstances: (
    fleet: JobFleetFixture,
    random: () => number,
  ) => RivalInstances;
  /** How the shards change their owners, given the entries. */
  readonly createOwnershipChanges: (
    entries: readonly RivalEntry[],
    clock: Clock,
    random: () => number,
  ) => OwnershipChanges;
}
