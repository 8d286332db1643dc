import {setTimeout as sleep} from 'node:timers/promises';
import type {TargetFault} from './target_fault_types.js';

const LATE_MILLISECONDS = 3_000;

/** A target that echoes each request after a service time. */
export class TargetStandIn {
  private readonly counts = new Map<string, number>();
  private readonly waiting: (() => void)[] = [];
  private inProgress = 0;
  fault: TargetFault = {fault: 'none'};

  constructor(
    private readonly slots: number,
    private readonly serviceMilliseconds: number,
  ) {}

  /** How often each idempotency key was executed. */
  get executions(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counts);
  }

  get isIdle(): boolean {
    return this.inProgress === 0;
  }

  /** Executes one request once a slot is free. */
  async execute(idempotencyKey: string): Promise<void> {
    await this.takeSlot();
    const count = this.counts.get(idempotencyKey) ?? 0;
    this.counts.set(idempotencyKey, count + 1);
    const {fault, delayMilliseconds = LATE_MILLISECONDS} = this.fault;
    const delay = fault === 'late' ? delayMilliseconds : 0;
    await sleep(this.serviceMilliseconds + delay);
    this.freeSlot();
  }

  private async takeSlot(): Promise<void> {
    this.inProgress += 1;
    if (this.inProgress <= this.slots) return;
    await new Promise<void>(resolve => this.waiting.push(resolve));
  }

  private freeSlot(): void {
    this.inProgress -= 1;
    this.waiting.shift()?.();
  }
}
