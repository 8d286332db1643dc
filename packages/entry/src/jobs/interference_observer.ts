import type {Clock} from '@chicoryspring/contracts';
import {
  WorkerViewBuilder,
  InterferenceModel,
  type InterferenceRow,
  type PlacedRun,
} from '@chicoryspring/jobs';
import {interferenceLearnedMethod} from '@chicoryspring/links';
import type {FleetAgent} from './fleet_agent.js';

/** Least time between two measurements of one worker that count. */
const MIN_MEASUREMENT_INTERVAL_MILLISECONDS = 450;

/** Learns from the reports how filling runs disturb runs that serve. */
export class InterferenceObserver {
  readonly model = new InterferenceModel();
  private readonly observedAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Takes in what an agent measured, if it is new. */
  observe(agent: FleetAgent, runs: readonly PlacedRun[]): void {
    const now = this.clock.now();
    const last = this.observedAt.get(agent.name) ?? 0;
    if (now - last < MIN_MEASUREMENT_INTERVAL_MILLISECONDS || !agent.report)
      return;
    this.observedAt.set(agent.name, now);
    const view = WorkerViewBuilder.fromReport(agent.report, runs);
    if (!view) return;
    this.model.observe(view.latencyCriticalRuns, view.bestEffortRuns, now);
  }

  /** Takes over what an earlier owner has learned. */
  seed(rows: readonly InterferenceRow[]): void {
    this.model.seed(rows);
  }

  /** Tells the agents what was learned, if it has changed. */
  publish(agents: readonly FleetAgent[]): void {
    const rows = this.model.rowsToPublish();
    if (rows.length === 0) return;
    for (const {link} of agents) {
      if (link?.isOpen) link.notify(interferenceLearnedMethod, {rows});
    }
  }
}
