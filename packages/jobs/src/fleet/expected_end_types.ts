import type {Resources} from '@chicoryspring/contracts';

/** When a part of a worker's reserved capacity is expected to be free. */
export interface ExpectedEnd {
  /** Local instant; infinite for a run that lasts. */
  readonly instant: number;
  readonly resources: Resources;
  /** Whether the runs are this owner's, so that their end was estimated. */
  readonly isKnown: boolean;
}
