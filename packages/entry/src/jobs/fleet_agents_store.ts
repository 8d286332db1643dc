import type {WorkerReport} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import {FleetAgentStore} from './fleet_agent_store.js';

/** The agents that this entry has heard of, by name. */
export class FleetAgentsStore {
  private readonly agents = new Map<string, FleetAgentStore>();

  get all(): readonly FleetAgentStore[] {
    return [...this.agents.values()];
  }

  get(name: string): FleetAgentStore | undefined {
    return this.agents.get(name);
  }

  /** Takes in a report; undefined for one that is out of date. */
  takeIn(report: WorkerReport, link: Link): FleetAgentStore | undefined {
    const known = this.agents.get(report.agent);
    const agent = known ?? new FleetAgentStore(report.agent);
    this.agents.set(report.agent, agent);
    return agent.takeIn(report, link) ? agent : undefined;
  }
}
