import type {Clock} from '@chicoryspring/contracts';
import {taskEndedMethod, type Link} from '@chicoryspring/links';
import type {WorkerClient} from '../worker_client/worker_client_types.js';
import type {WorkerEnding} from '../worker_client/worker_ending_types.js';
import type {TaskManager} from './task_manager.js';

const REPORT_TIMEOUT_MILLISECONDS = 5_000;
const RETRY_INTERVAL_MILLISECONDS = 200;

/** Reports the endings of tasks to the owners of the tasks. */
export class EndingReporter {
  private readonly reports = new Map<string, Promise<void>>();

  constructor(
    private readonly workerName: string,
    private readonly worker: WorkerClient,
    private readonly manager: TaskManager,
    private readonly links: () => readonly Link[],
    private readonly clock: Clock,
  ) {}

  /** The background loop that reads endings from the worker. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        const endings = await this.worker.waitForEndings(signal);
        const hasNewEnding = endings.some(one => !this.reports.has(keyOf(one)));
        for (const ending of endings) void this.report(ending, signal);
        // The worker lists unacknowledged endings again without delay, so wait.
        if (!hasNewEnding) await this.pause(signal);
      } catch {
        await this.pause(signal);
      }
    }
  }

  /** Reports an ending, with retries until the owner has stored it durably. */
  async report(ending: WorkerEnding, signal: AbortSignal): Promise<void> {
    const key = keyOf(ending);
    const known = this.reports.get(key);
    if (known) return await known;
    this.manager.recordEnding(ending);
    const report = this.deliver(ending, signal);
    this.reports.set(key, report);
    await report.finally(() => this.reports.delete(key));
  }

  private async deliver(
    ending: WorkerEnding,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      if (await this.reportToOwner(ending))
        return await this.acknowledge(ending);
      await this.pause(signal);
    }
  }

  private async acknowledge(ending: WorkerEnding): Promise<void> {
    const {taskId, epoch} = ending;
    this.manager.forget(ending);
    // If this fails, the ending is reported again and the owner ignores it.
    await this.worker.acknowledge(taskId, epoch).catch(() => undefined);
  }

  /** Tries each link once; returns whether the owner has stored the ending. */
  private async reportToOwner(ending: WorkerEnding): Promise<boolean> {
    const input = {...ending, worker: this.workerName};
    for (const link of this.links()) {
      const deadline = this.clock.now() + REPORT_TIMEOUT_MILLISECONDS;
      try {
        await link.call(taskEndedMethod, input, deadline);
        return true;
      } catch {
        // Another entry, or the next attempt, may reach the owner.
      }
    }
    return false;
  }

  private async pause(signal: AbortSignal): Promise<void> {
    const deadline = this.clock.now() + RETRY_INTERVAL_MILLISECONDS;
    await this.clock.sleepUntil(deadline, signal);
  }
}

function keyOf({taskId, epoch}: WorkerEnding): string {
  return `${taskId}/${epoch}`;
}
