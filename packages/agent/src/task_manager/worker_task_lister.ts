import type {WorkerClient} from '../worker_client/worker_client_types.js';
import type {WorkerTask} from '../worker_client/worker_task_types.js';
import type {ManagedTask} from './managed_task_types.js';

/** Lists the tasks of a worker and remembers its incarnation. */
export class WorkerTaskLister {
  private lastIncarnation: string | undefined;

  constructor(private readonly worker: Pick<WorkerClient, 'list'>) {}

  /** Incarnation at the last list; undefined if the worker tells none. */
  get incarnation(): string | undefined {
    return this.lastIncarnation;
  }

  async list(): Promise<readonly WorkerTask[]> {
    const {tasks, incarnation} = await this.worker.list();
    this.lastIncarnation = incarnation;
    return tasks;
  }

  /** Whether the worker has started anew since a start was sent. */
  hasRestartedSince({incarnation}: ManagedTask): boolean {
    const {lastIncarnation} = this;
    if (incarnation === undefined || lastIncarnation === undefined)
      return false;
    return incarnation !== lastIncarnation;
  }
}
