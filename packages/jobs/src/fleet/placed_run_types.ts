import type {RunDescription} from '@chicoryspring/contracts';

/** A run that the owner of its job has placed on a worker. */
export interface PlacedRun extends RunDescription {
  readonly task: string;
  readonly run: number;
  /**
   * First report version that lists the run; undefined while the agent has not
   * answered the start order.
   */
  readonly sinceVersion?: number | undefined;
  /** Whether only runs of the same job may begin beside it now. */
  readonly isIsolated?: boolean | undefined;
}
