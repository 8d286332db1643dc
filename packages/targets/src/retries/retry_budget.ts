/** Maximum balance of a service in retries; also the initial balance. */
const MAX_BALANCE = 100;

/** Limits the retries of one service to a share of its first attempts. */
export class RetryBudget {
  private balance = MAX_BALANCE;

  /** Adds the share of a retry that one first attempt allows. */
  recordFirstAttempt(retryShare: number): void {
    this.balance = Math.min(MAX_BALANCE, this.balance + retryShare);
  }

  /** Spends one retry; false when none is left. */
  trySpend(): boolean {
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}
