import type {Resources} from '@chicoryspring/contracts';

/** Capacity and use of the fleet, as the checking entry knows them now. */
export interface FleetUsage {
  /** Total of the known workers; undefined while none is known. */
  readonly capacity?: Resources | undefined;
  /** `Kind/name` of the objects that workers, targets and tasks use. */
  readonly objectsInUse: ReadonlySet<string>;
}
