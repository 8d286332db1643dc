/**
 * Whether it is known where every task of a shard may be running.
 *
 * A new owner knows it once each agent that may hold runs has reported under
 * the new ownership, or has been silent for so long that whatever it held has
 * certainly ended.
 */
export class ShardReconciliation {
  private readonly reported = new Set<string>();

  constructor(
    /** Local instant at which runs of silent agents have certainly ended. */
    private readonly expiryDeadline: number,
  ) {}

  /** Takes note that the agent has reported under this ownership. */
  addReport(agent: string): void {
    this.reported.add(agent);
  }

  /** Whether runs of agents that have not reported have certainly ended. */
  haveSilentAgentsExpired(now: number): boolean {
    return now >= this.expiryDeadline;
  }

  hasReported(agent: string): boolean {
    return this.reported.has(agent);
  }

  /** Whether every known agent has reported, or its runs have ended. */
  isReconciled(agents: readonly string[], now: number): boolean {
    if (this.haveSilentAgentsExpired(now)) return true;
    return agents.every(agent => this.reported.has(agent));
  }
}
