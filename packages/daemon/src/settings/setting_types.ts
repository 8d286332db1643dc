import type {GenericSchema} from 'valibot';

/** One setting of a process, given as a flag or an environment variable. */
export interface Setting {
  /** Name of the flag without dashes, for instance `link-key`. */
  readonly flag: string;
  readonly description: string;
  /** Checks the text that was given. */
  readonly schema: GenericSchema<unknown, unknown>;
  /** Text that stands when none is given; absent for a required setting. */
  readonly standard?: string;
  /** Whether the process works without it. */
  readonly isOptional?: boolean;
  /** Read from the environment only and never printed. */
  readonly isSecret: boolean;
}
