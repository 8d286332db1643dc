import type {RunDescription} from '@chicoryspring/contracts';

/** A run on a worker, as the owner of its job knows it. */
export interface PlacedRun extends RunDescription {
  readonly task: string;
  readonly run: number;
  /** Version from which on reports contain it; undefined when unknown. */
  readonly sinceVersion?: number | undefined;
}
