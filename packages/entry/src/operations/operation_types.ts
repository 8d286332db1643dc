import type {GenericSchema} from 'valibot';

/** An operation on one record, run by the owner of the record's shard. */
export interface Operation<Input, Result> {
  readonly name: string;
  readonly input: GenericSchema<unknown, Input>;
  readonly result: GenericSchema<unknown, Result>;
  /** Key of the record; its shard decides the owner. */
  readonly key: (input: Input) => string;
  /** Whether running it twice has the effect of running it once. */
  readonly isIdempotent: boolean;
  /** Timeout for the owner's answer; the caller's deadline alone without. */
  readonly answerMilliseconds?: number | undefined;
}
