import type {RunOrder} from './run_order_types.js';

/** A start order as it is sent on a link. */
export interface RunOrderMessage extends Omit<RunOrder, 'spec'> {
  /** Absent if an earlier order of the same job on the link had it. */
  readonly spec?: string | undefined;
}
