import type {Resources} from '../resources/resources_types.js';

/** What an agent needs to know about a run, besides its name. */
export interface RunDescription {
  readonly resources: Resources;
  readonly isFilling: boolean;
  readonly isLasting: boolean;
  /** What the task runs; tasks of the same image behave alike. */
  readonly image?: string | undefined;
  /** Goal for tail latency of a latency-critical run, in milliseconds. */
  readonly goalMilliseconds?: number | undefined;
}
