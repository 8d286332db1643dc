/** Most retries that a service can have saved; it starts with as many. */
const MAX_BALANCE = 100;

/** The retries of one service: a share of its first attempts. */
export class RetryBudget {
  private balance = MAX_BALANCE;

  /** Earns the share of a retry that one first attempt allows. */
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
