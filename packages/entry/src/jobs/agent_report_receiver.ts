import type {
  Clock,
  WorkerReport,
  WorkerReportChange,
} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import type {StateLog} from '@chicoryspring/observability';
import {AgentIntroduction} from './agent_introduction.js';
import type {FleetAgentDirectory} from './fleet_agent_directory.js';
import type {InterferenceObserver} from './interference_observer.js';
import type {JobReconciler} from './job_reconciler.js';
import {ReportStreams} from './report_streams.js';
import type {RunAgentClient} from './run_agent_client.js';

interface AgentReportReceiverParts {
  readonly agents: FleetAgentDirectory;
  readonly agentClient: RunAgentClient;
  readonly reconciler: JobReconciler;
  readonly interferenceObserver: InterferenceObserver;
  readonly clock: Clock;
  readonly log: StateLog;
  /** A report was applied. */
  readonly onApplied: () => void;
  /** An agent has reported that it has no worker. */
  readonly onWorkerGone: (agent: string) => void;
  /** A later process of an agent has taken the place of the known one. */
  readonly onIntroduced: (agent: string) => void;
}

/** Applies the reports of agents, each process of an agent in its turn. */
export class AgentReportReceiver {
  private readonly introduction: AgentIntroduction;
  private readonly streams = new ReportStreams();

  constructor(private readonly parts: AgentReportReceiverParts) {
    this.introduction = new AgentIntroduction({
      ...parts,
      onReport: (report, link, askedAt) => this.apply(report, link, askedAt),
    });
  }

  /** Applies a report that an agent has sent as a notification. */
  receiveNotified(report: WorkerReport, link: Link): void {
    this.streams.restart(report, link);
    this.receive(report, link);
  }

  /** Applies the change of a report; asks for a full one if any is missing. */
  receiveChange(change: WorkerReportChange, link: Link): void {
    const report = this.streams.apply(change, link);
    if (report) this.receive(report, link);
    else void this.introduction.requestReport(change.agent, link);
  }

  /** Applies a report that an agent has sent unasked, as when it joins. */
  receive(report: WorkerReport, link: Link): void {
    if (!this.apply(report, link)) void this.introduction.run(report, link);
  }

  /** Applies a report; false if it is outdated, or may be. */
  apply(report: WorkerReport, link: Link, askedAt?: number): boolean {
    const {agents, reconciler, interferenceObserver} = this.parts;
    const agent = agents.applyReport(report, link, askedAt);
    if (!agent) return false;
    reconciler.applyReport(agent, report, askedAt);
    interferenceObserver.observe(agent);
    this.parts.onApplied();
    // It is listed no longer before it ends, or the next owner would wait for it.
    if (agent.hasNoWorker) this.parts.onWorkerGone(agent.name);
    return true;
  }
}
