import type {RivalWorker} from './rival_worker_types.js';

/** Finds runs that began after an end of their task as done was acknowledged. */
export class AcknowledgedEndCheck {
  private readonly found: string[] = [];
  private readonly checkedRuns = new Map<RivalWorker, number>();
  private readonly acknowledgedTasks = new Set<string>();

  constructor(private readonly workers: readonly RivalWorker[]) {}

  /** The runs found; the workers say which acknowledgements count. */
  get repeatedRuns(): readonly string[] {
    return this.found;
  }

  /** Looks at every worker; to be called after each step of time. */
  check(): void {
    for (const worker of this.workers) this.checkBegun(worker);
    for (const worker of this.workers)
      for (const task of worker.acknowledgedDone)
        this.acknowledgedTasks.add(task);
  }

  private checkBegun(worker: RivalWorker): void {
    const checked = this.checkedRuns.get(worker) ?? 0;
    const began = worker.began.slice(checked);
    this.checkedRuns.set(worker, checked + began.length);
    const isRepeated = (run: string) =>
      this.acknowledgedTasks.has(run.split('#')[0]!);
    this.found.push(...began.filter(isRepeated));
  }
}
