/**
 * Tracks whether the new owner of a shard knows where its tasks may be running.
 *
 * The shard is reconciled once each agent that may have runs has reported under
 * the new ownership, or has had no contact for so long that all its runs have
 * certainly ended.
 */
export class ShardReconciliation {
  private readonly reported = new Set<string>();

  constructor(
    /** Local instant at which the shard was gained. */
    readonly gainedAt: number,
    /**
     * Local instant at which runs without a report have certainly ended. It changes
     * with what is known of the earlier owners.
     */
    private readonly expiry: () => number,
  ) {}

  /** Local instant at which runs without a report have certainly ended. */
  get expiryDeadline(): number {
    return this.expiry();
  }

  /** Records that the agent has reported under this ownership. */
  addReport(agent: string): void {
    this.reported.add(agent);
  }

  /** Whether runs of agents that have not reported have certainly ended. */
  haveUnreportedAgentsExpired(now: number): boolean {
    return now >= this.expiryDeadline;
  }

  hasReported(agent: string): boolean {
    return this.reported.has(agent);
  }

  /** Whether each of the agents has reported, or its runs have ended. */
  isReconciled(agents: readonly string[], now: number): boolean {
    const areAllReported = agents.every(agent => this.reported.has(agent));
    return areAllReported || this.haveUnreportedAgentsExpired(now);
  }

  /** Those of the agents that have not reported. */
  unreported(agents: readonly string[]): readonly string[] {
    return agents.filter(agent => !this.reported.has(agent));
  }
}
