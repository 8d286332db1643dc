import {setImmediate} from 'node:timers/promises';

/**
 * Bounds the work that is done in one turn of the event loop, so that a long
 * list doesn't keep leases and links from being renewed.
 */
export class TurnBudget {
  private spentCost = 0;
  /** The next turn, once something was spent in this one. */
  private nextTurn: Promise<void> | undefined;

  constructor(private readonly maxCost: number) {}

  /** Counts work; the last piece of a turn may exceed the maximum. */
  spend(cost: number): void {
    this.spentCost += cost;
    this.nextTurn ??= this.beginNextTurn();
  }

  /** Waits until there is room for work in a turn. */
  async waitForRoom(): Promise<void> {
    while (this.isSpent) await this.nextTurn;
  }

  get isSpent(): boolean {
    return this.spentCost >= this.maxCost;
  }

  private async beginNextTurn(): Promise<void> {
    await setImmediate();
    this.spentCost = 0;
    this.nextTurn = undefined;
  }
}
