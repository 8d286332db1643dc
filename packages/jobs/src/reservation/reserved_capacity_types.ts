import type {Resources} from '@chicoryspring/contracts';

/** Capacity that a reservation keeps on one worker. */
export interface ReservedCapacity {
  readonly agent: string;
  readonly resources: Resources;
}
