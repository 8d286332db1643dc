import type {Link} from '@chicoryspring/links';

/** Agents that are asked in an interval before the first has answered. */
const FIRST_REQUESTS = 4;
/** Rows that the agents asked in one interval answer with. */
const ROWS_PER_INTERVAL = 1_000;

/**
 * Selects the agents that an owner asks for what they know of interference.
 *
 * Nearly all know the same, and their answers share the owner's connection to the
 * network. So each is asked once, and a few in each interval of the renewals.
 */
export class InterferenceRequests {
  private asked = new WeakSet<Link>();
  private askedInInterval = 0;
  private isAnswered = false;

  constructor(
    /** Rows that the owner knows, as many as an answer is expected to have. */
    private readonly rowCount: () => number,
  ) {}

  /** Whether to ask the agent on the link now, which then counts as asked. */
  take(link: Link): boolean {
    if (this.asked.has(link) || this.askedInInterval >= this.limit)
      return false;
    this.asked.add(link);
    this.askedInInterval += 1;
    return true;
  }

  answered(): void {
    this.isAnswered = true;
  }

  /** The agent has not answered; it is asked again. */
  failed(link: Link): void {
    this.asked.delete(link);
  }

  beginInterval(): void {
    this.askedInInterval = 0;
  }

  /** Asks every agent again, since another owner may have told them more. */
  restart(): void {
    this.asked = new WeakSet();
    this.isAnswered = false;
  }

  private get limit(): number {
    if (!this.isAnswered) return FIRST_REQUESTS;
    const rows = Math.max(1, this.rowCount());
    return Math.max(1, Math.floor(ROWS_PER_INTERVAL / rows));
  }
}
