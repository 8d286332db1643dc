import {ChicoryspringError, type Task} from '@chicoryspring/contracts';
import type {LinkMethod} from '@chicoryspring/links';
import type {ManualClock} from '@chicoryspring/testing';
import type {FakeAgent} from './fake_agent.js';
import type {LinkFault} from './link_fault_types.js';

interface Input {
  readonly task: Task;
  readonly taskId: string;
  readonly epoch: number;
  readonly leaseMilliseconds: number;
  readonly tasks: readonly {readonly taskId: string; readonly epoch: number}[];
}

/** A link to an agent that delays and drops messages by a schedule. */
export class FakeLink {
  private readonly closing = new AbortController();

  constructor(
    private readonly agent: FakeAgent,
    private readonly clock: ManualClock,
    private readonly nextFault: () => LinkFault,
  ) {}

  get isOpen(): boolean {
    return !this.closing.signal.aborted;
  }

  get closed(): AbortSignal {
    return this.closing.signal;
  }

  /** Leases count from before the message was sent, as on a real link. */
  async call<Result>(
    method: LinkMethod<never, Result>,
    input: Input,
  ): Promise<Result> {
    const sentAt = this.clock.now();
    const fault = this.nextFault();
    if (fault.kind === 'refused') {
      throw new ChicoryspringError('peer-unreachable', method.name);
    }
    await this.clock.sleepUntil(sentAt + fault.milliseconds);
    if (fault.kind === 'dropped') throw lostError(method.name);
    const leaseDeadline = sentAt + (input.leaseMilliseconds ?? 0);
    const result = this.handle(method.name, input, leaseDeadline);
    if (fault.kind === 'lost') throw lostError(method.name);
    return result as Result;
  }

  notify(): void {}

  close(): void {
    this.closing.abort();
  }

  private handle(name: string, input: Input, leaseDeadline: number): unknown {
    if (name === 'task.start') {
      this.agent.start(input.task, input.epoch, leaseDeadline);
      return null;
    }
    if (name === 'task.renew') {
      return {missing: this.agent.renew(input.tasks, leaseDeadline)};
    }
    this.agent.stop(input.taskId, input.epoch);
    return {};
  }
}

function lostError(name: string): ChicoryspringError {
  return new ChicoryspringError('link-closed', name);
}
