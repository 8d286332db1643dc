import type {Setting} from '../settings/setting_types.js';

/** A role that `chicoryspringd` can take. */
export interface Role {
  readonly description: string;
  readonly settings: readonly Setting[];
  /** Starts the role; the result drains and stops it. */
  readonly start: (
    values: Readonly<Record<string, unknown>>,
  ) => Promise<() => Promise<void>>;
}
