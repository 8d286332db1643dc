import type {StopSchedule, StopTerms} from '@chicoryspring/contracts';
import type {Setting} from '../settings/setting_types.js';

/** A role in which `chicoryspringd` can run. */
export interface Role {
  readonly description: string;
  readonly settings: readonly Setting[];
  /** What its stop has to allow for, within the grace period. */
  readonly stopTerms: Omit<StopTerms, 'graceMilliseconds'>;
  /** Starts the role and returns the function that drains and stops it. */
  readonly start: (
    values: Readonly<Record<string, unknown>>,
  ) => Promise<(stop: StopSchedule) => Promise<void>>;
}
