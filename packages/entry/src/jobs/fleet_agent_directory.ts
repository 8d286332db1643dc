import type {Clock, WorkerReport} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import {FleetAgent} from './fleet_agent.js';

/** The agents that have reported to this entry, by name. */
export class FleetAgentDirectory {
  private readonly agents = new Map<string, FleetAgent>();

  constructor(private readonly clock: Clock) {}

  get all(): readonly FleetAgent[] {
    return [...this.agents.values()];
  }

  get(name: string): FleetAgent | undefined {
    return this.agents.get(name);
  }

  /**
   * Applies a report, asked for at an instant or sent unasked; undefined if it is
   * outdated.
   */
  applyReport(
    report: WorkerReport,
    link: Link,
    askedAt?: number,
  ): FleetAgent | undefined {
    const known = this.agents.get(report.agent);
    const agent = known ?? new FleetAgent(report.agent);
    this.agents.set(report.agent, agent);
    const now = this.clock.now();
    const isApplied = agent.applyReport(report, link, now, askedAt);
    return isApplied ? agent : undefined;
  }
}
