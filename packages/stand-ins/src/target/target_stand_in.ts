import {setTimeout as sleep} from 'node:timers/promises';
import type {TargetFault} from './target_fault_types.js';

const LATE_MILLISECONDS = 3_000;

/** A target that echoes each request after a service time. */
export class TargetStandIn {
  private readonly counts = new Map<string, number>();
  private readonly waiting: (() => void)[] = [];
  private readonly held: (() => void)[] = [];
  private inProgress = 0;
  private currentFault: TargetFault = {fault: 'none'};

  constructor(
    private readonly slots: number,
    private readonly serviceMilliseconds: number,
  ) {}

  get fault(): TargetFault {
    return this.currentFault;
  }

  /** Replaces the fault; requests that the old one held are released. */
  set fault(fault: TargetFault) {
    this.currentFault = fault;
    for (const release of this.held.splice(0)) release();
  }

  /** How often the execution of each idempotency key was begun. */
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
    if (fault === 'held') {
      await new Promise<void>(resolve => this.held.push(resolve));
    }
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
