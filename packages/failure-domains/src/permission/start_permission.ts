/**
 * Whether an agent may start work now.
 *
 * Each heartbeat of an entry that is sure of its configuration extends the
 * permission; a take-out withdraws it, and an older revision never gives it
 * back.
 */
export class StartPermission {
  private deadline = 0;
  private activeRevision = 0;
  private isOutOfService = false;

  constructor(private readonly failureDomain: string) {}

  /** Highest revision of the configuration that this process has seen. */
  get revision(): number {
    return this.activeRevision;
  }

  /** Takes in one heartbeat; an older revision is ignored. */
  extend(
    revision: number,
    domainsOut: readonly string[],
    deadline: number,
  ): void {
    if (revision < this.activeRevision) return;
    this.activeRevision = revision;
    this.isOutOfService = domainsOut.includes(this.failureDomain);
    this.deadline = Math.max(this.deadline, deadline);
  }

  /** Why no work may start at this instant; undefined when it may. */
  refusal(
    now: number,
  ): 'failure-domain-out' | 'start-permission-expired' | undefined {
    if (this.isOutOfService) return 'failure-domain-out';
    return now < this.deadline ? undefined : 'start-permission-expired';
  }
}
