import type {Clock} from '@chicoryspring/contracts';

/**
 * Which agents get a renewal of their run permission, and when.
 *
 * Every agent gets one at each interval. In between, an agent gets one if
 * something has changed for it. What concerns one agent makes no other one due:
 * with each answer of an agent making all of them due, a takeover would cost the
 * square of their number in calls.
 */
export class RenewalSchedule {
  private readonly dueAgents = new Set<string>();
  private isEveryoneDue = true;
  private intervalDeadline = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly intervalMilliseconds: number,
  ) {}

  /** Local instant of the next renewal of every agent. */
  get deadline(): number {
    return this.intervalDeadline;
  }

  makeAllDue(): void {
    this.isEveryoneDue = true;
  }

  makeDue(agent: string): void {
    this.dueAgents.add(agent);
  }

  isDue(agent: string): boolean {
    return this.isEveryoneDue || this.dueAgents.has(agent);
  }

  /**
   * Takes the agents, of all those named, that are due now. At an interval they are
   * all, and `isInterval` is true.
   */
  take(all: readonly string[]): {
    readonly isInterval: boolean;
    readonly due: readonly string[];
  } {
    const now = this.clock.now();
    const isInterval = now >= this.intervalDeadline;
    if (isInterval) this.intervalDeadline = now + this.intervalMilliseconds;
    const due = isInterval ? all : all.filter(name => this.isDue(name));
    this.isEveryoneDue = false;
    this.dueAgents.clear();
    return {isInterval, due};
  }
}
