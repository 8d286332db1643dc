import type {Resources} from '../resources/resources_types.js';

/** Work that a caller submitted: a run ends, a watch runs until cancelled. */
export interface Task {
  readonly id: string;
  readonly caller: string;
  readonly team: string;
  readonly kind: 'run' | 'watch';
  /** Name of a TaskClass object; interference is learned by class. */
  readonly taskClass: string;
  /** Urgent work may evict other work to start. */
  readonly urgent: boolean;
  readonly resources: Resources;
  readonly idempotencyKey: string;
  readonly input: string;
}
