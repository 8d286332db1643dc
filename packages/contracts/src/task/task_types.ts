import type {Resources} from '../resources/resources_types.js';

/**
 * Work submitted by a caller: a run ends; a watch runs until cancelled.
 *
 * The tasks of a job are not of this type; their runs have a `RunOrder`.
 */
export interface Task {
  readonly id: string;
  readonly caller: string;
  readonly team: string;
  readonly kind: 'run' | 'watch';
  /** Name of a TaskClass object; interference is learned for each class. */
  readonly taskClass: string;
  /** Urgent work may evict other work to start. */
  readonly urgent: boolean;
  readonly resources: Resources;
  readonly idempotencyKey: string;
  readonly input: string;
}
