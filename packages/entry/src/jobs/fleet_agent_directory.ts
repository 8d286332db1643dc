import type {WorkerReport} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import {FleetAgent} from './fleet_agent.js';

/** The agents that this entry has heard of, by name. */
export class FleetAgentDirectory {
  private readonly agents = new Map<string, FleetAgent>();

  get all(): readonly FleetAgent[] {
    return [...this.agents.values()];
  }

  get(name: string): FleetAgent | undefined {
    return this.agents.get(name);
  }

  /** Takes in a report; undefined for one that is out of date. */
  applyReport(report: WorkerReport, link: Link): FleetAgent | undefined {
    const known = this.agents.get(report.agent);
    const agent = known ?? new FleetAgent(report.agent);
    this.agents.set(report.agent, agent);
    return agent.applyReport(report, link) ? agent : undefined;
  }
}
