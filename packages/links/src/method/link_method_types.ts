import type {GenericSchema} from 'valibot';

/** A method that one process calls on another, with its message schemas. */
export interface LinkMethod<Input, Result> {
  readonly name: string;
  readonly input: GenericSchema<unknown, Input>;
  readonly result: GenericSchema<unknown, Result>;
}
