/** Retries that a service has before any first attempt. */
const RESERVE = 10;
/** Most retries that a service can have saved. */
const MOST_SAVED = 100;

/** The retries of one service: a share of its first attempts. */
export class RetryBudgetStore {
  private saved = RESERVE;

  /** Earns the share of a retry that one first attempt allows. */
  firstAttempt(retryShare: number): void {
    this.saved = Math.min(MOST_SAVED, this.saved + retryShare);
  }

  /** Spends one retry; false when none is left. */
  trySpend(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
