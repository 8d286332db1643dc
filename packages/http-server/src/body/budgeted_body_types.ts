/** A body that holds a part of the budget. */
export interface BudgetedBody {
  /** Drops what has been read of the body; its part is already returned. */
  giveUp(error: Error): void;
}
