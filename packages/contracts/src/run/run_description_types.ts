import type {Resources} from '../resources/resources_types.js';

/** What an agent needs to know of a run, beside its name. */
export interface RunDescription {
  readonly resources: Resources;
  readonly isFilling: boolean;
  readonly isLasting: boolean;
  /** What the task runs; tasks of one image behave alike. */
  readonly image?: string | undefined;
  /** Goal for the tail latency of a task that serves, in milliseconds. */
  readonly goalMilliseconds?: number | undefined;
}
