import type {Clock} from '@chicoryspring/contracts';
import {taskEndedMethod} from '@chicoryspring/links';
import type {EntryDirectory} from '../entry_peer/entry_directory_behaviour.js';
import type {WorkerClient} from '../worker_client/worker_client_types.js';
import type {WorkerEnding} from '../worker_client/worker_ending_types.js';
import type {TaskKeeper} from './task_keeper_behaviour.js';

const ENDING_LIMIT_MILLISECONDS = 5_000;
const RETRY_MILLISECONDS = 200;

/** Tells the owners of tasks how their tasks ended. */
export class EndingReporter {
  constructor(
    private readonly workerName: string,
    private readonly worker: WorkerClient,
    private readonly keeper: TaskKeeper,
    private readonly entries: EntryDirectory,
    private readonly clock: Clock,
  ) {}

  /** The task that takes the endings of tasks from the worker. */
  async follow(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        const endings = await this.worker.endings(signal);
        for (const ending of endings) await this.report(ending, signal);
      } catch {
        await this.pause(signal);
      }
    }
  }

  /** Tells the owner of an ending until it is durable there. */
  async report(ending: WorkerEnding, signal: AbortSignal): Promise<void> {
    this.keeper.forget(ending.taskId);
    while (!signal.aborted) {
      if (await this.tryReport(ending)) return;
      await this.pause(signal);
    }
  }

  private async tryReport(ending: WorkerEnding): Promise<boolean> {
    const input = {...ending, worker: this.workerName};
    for (const link of this.entries.links()) {
      const deadline = this.clock.now() + ENDING_LIMIT_MILLISECONDS;
      try {
        await link.call(taskEndedMethod, input, deadline);
        await this.worker.acknowledge(ending.taskId, ending.epoch);
        return true;
      } catch {
        // Another entry, or the next round, may reach the owner.
      }
    }
    return false;
  }

  private async pause(signal: AbortSignal): Promise<void> {
    const deadline = this.clock.now() + RETRY_MILLISECONDS;
    await this.clock.sleepUntil(deadline, signal);
  }
}
