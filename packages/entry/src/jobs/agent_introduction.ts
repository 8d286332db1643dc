import {
  toChicoryspringError,
  type Clock,
  type WorkerReport,
} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import type {StateLog} from '@chicoryspring/observability';
import type {ApplyReport} from '../renewals/apply_report_types.js';
import type {FleetAgentDirectory} from './fleet_agent_directory.js';
import type {RunAgentClient} from './run_agent_client.js';

const RETRY_INTERVAL_MILLISECONDS = 500;

interface AgentIntroductionParts {
  readonly agents: FleetAgentDirectory;
  readonly agentClient: RunAgentClient;
  readonly clock: Clock;
  readonly log: StateLog;
  readonly onReport: ApplyReport;
  /** A later process of an agent has taken the place of the known one. */
  readonly onIntroduced: (agent: string) => void;
}

/**
 * Asks agents for reports on their links: to find out whether a link leads to a
 * later process than the one that is known, or because a report was missed.
 *
 * A report that was not asked for may be late, from a process that has ended.
 * Only a process that still runs answers a call.
 */
export class AgentIntroduction {
  private readonly links = new Set<Link>();

  constructor(private readonly parts: AgentIntroductionParts) {}

  /**
   * Asks for a report until the process that has sent one is the known process,
   * or its link is closed.
   */
  async run(report: WorkerReport, link: Link): Promise<void> {
    if (this.links.has(link)) return;
    this.links.add(link);
    const {clock} = this.parts;
    while (link.isOpen && !this.isKnown(report)) {
      const askedAt = clock.now();
      await this.ask(report.agent, link, askedAt);
      if (this.isKnown(report)) break;
      await clock.sleepUntil(askedAt + RETRY_INTERVAL_MILLISECONDS);
    }
    this.links.delete(link);
  }

  /** Asks for one report on a link, unless one is being asked for there. */
  async requestReport(agent: string, link: Link): Promise<void> {
    if (this.links.has(link)) return;
    this.links.add(link);
    await this.ask(agent, link, this.parts.clock.now());
    this.links.delete(link);
  }

  private isKnown({agent, agentLife}: WorkerReport): boolean {
    return this.parts.agents.get(agent)?.isProcess(agentLife) === true;
  }

  private async ask(agent: string, link: Link, askedAt: number): Promise<void> {
    const {agentClient, log, onReport, onIntroduced} = this.parts;
    try {
      const report = await agentClient.requestReport(link);
      if (report && onReport(report, link, askedAt)) onIntroduced(agent);
    } catch (thrown) {
      const {kind, message} = toChicoryspringError(thrown);
      log.change('agent process not introduced', {agent, kind, message});
    }
  }
}
