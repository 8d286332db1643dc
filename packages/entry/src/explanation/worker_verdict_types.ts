import type {TaskRecord} from '@chicoryspring/contracts';
import type {Worker} from '@chicoryspring/workers';

/** One possible reason against placing a task on a worker. */
export interface WorkerVerdict {
  readonly verdict: string;
  readonly applies: (
    record: TaskRecord,
    worker: Worker,
    domainsOut: readonly string[],
  ) => boolean;
}
