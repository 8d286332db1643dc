import type {Resources} from '@chicoryspring/contracts';

/** What the checking entry knows of the fleet at the moment. */
export interface FleetUsage {
  /** Sum over the known workers; undefined while none is known. */
  readonly capacity?: Resources | undefined;
  /** `Kind/name` of the objects that workers, targets and tasks use. */
  readonly objectsInUse: ReadonlySet<string>;
}
