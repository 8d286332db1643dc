import {TaskName} from '@chicoryspring/contracts';
import type {RunEvent} from './run_event_types.js';

interface RunName {
  readonly task: string;
  readonly run: number;
}

interface EndingName {
  readonly worker: object;
  readonly number: number;
}

/**
 * What the workers of a fleet have seen, in the order in which it happened.
 *
 * It judges by the users' rule: no task runs twice at the same time, and none
 * starts after an acknowledged ending `done`. An ending counts as acknowledged
 * only if the worker's lease did not expire in between.
 */
export class RunHistory {
  private readonly events: RunEvent[] = [];

  add(event: RunEvent): void {
    this.events.push(event);
  }

  /** Runs, `TASK#RUN`, that began while another run of their task ran. */
  get concurrentRuns(): readonly string[] {
    const runningByTask = new Map<string, ReadonlySet<string>>();
    const found: string[] = [];
    for (const event of this.events) {
      if (event.kind !== 'began' && event.kind !== 'ended') continue;
      const running = new Set(runningByTask.get(event.task));
      if (event.kind === 'began') {
        if (running.size > 0) found.push(nameOf(event));
        running.add(nameOf(event));
      } else running.delete(nameOf(event));
      runningByTask.set(event.task, running);
    }
    return found;
  }

  /** Runs, `TASK#RUN`, that began after an acknowledged ending `done`. */
  get repeatedRuns(): readonly string[] {
    const completedTasks = new Set<string>();
    const found: string[] = [];
    this.events.forEach((event, at) => {
      if (event.kind === 'began' && completedTasks.has(event.task))
        found.push(nameOf(event));
      const isDone = event.kind === 'ended' && event.cause === 'done';
      if (isDone && this.isAcknowledged(event, at))
        completedTasks.add(event.task);
    });
    return found;
  }

  /** Runs, `STEP#RUN`, whose tasks began with different checkpoints. */
  get dividedRuns(): readonly string[] {
    const checkpoints = new Map<string, string>();
    const found = new Set<string>();
    for (const event of this.events) {
      if (event.kind !== 'began') continue;
      const name = `${TaskName.stepPrefix(event.task)}#${event.run}`;
      const first = checkpoints.get(name) ?? event.checkpoint;
      if (first !== event.checkpoint) found.add(name);
      checkpoints.set(name, first);
    }
    return [...found];
  }

  /** Whether the ending is acknowledged, before the lease expires. */
  private isAcknowledged({worker, number}: EndingName, at: number): boolean {
    const next = this.events.slice(at + 1).find(event => {
      if (event.worker !== worker) return false;
      if (event.kind === 'acknowledged') return event.upTo >= number;
      return event.kind === 'lapsed';
    });
    return next?.kind === 'acknowledged';
  }
}

function nameOf({task, run}: RunName): string {
  return `${task}#${run}`;
}
