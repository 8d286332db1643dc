import type {Setting} from '../settings/setting_types.js';

/** A role in which `chicoryspringd` can run. */
export interface Role {
  readonly description: string;
  readonly settings: readonly Setting[];
  /** Starts the role and returns the function that drains and stops it. */
  readonly start: (
    values: Readonly<Record<string, unknown>>,
  ) => Promise<() => Promise<void>>;
}
