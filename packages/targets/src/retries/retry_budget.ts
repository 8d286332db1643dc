/** Most retries that a service can have saved; it starts with as many. */
const MOST_SAVED = 100;

/** The retries of one service: a share of its first attempts. */
export class RetryBudget {
  private saved = MOST_SAVED;

  /** Earns the share of a retry that one first attempt allows. */
  recordFirstAttempt(retryShare: number): void {
    this.saved = Math.min(MOST_SAVED, this.saved + retryShare);
  }

  /** Spends one retry; false when none is left. */
  trySpend(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
