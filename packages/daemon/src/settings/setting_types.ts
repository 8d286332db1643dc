import type {GenericSchema} from 'valibot';

/** One setting of a process, given as a flag or an environment variable. */
export interface Setting {
  /** Name of the flag without the leading dashes, for instance `link-key`. */
  readonly flag: string;
  readonly description: string;
  /** Parses and checks the given text. */
  readonly schema: GenericSchema<unknown, unknown>;
  /** Text used when none is given; a required or optional setting has none. */
  readonly defaultText?: string;
  /** Whether the setting may be left out although it has no default. */
  readonly isOptional?: boolean;
  /** Whether it is read from the environment only and never printed. */
  readonly isSecret: boolean;
}
