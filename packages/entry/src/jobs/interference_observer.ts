import type {Clock} from '@chicoryspring/contracts';
import {InterferenceModel, type InterferenceRow} from '@chicoryspring/jobs';
import {interferenceLearnedMethod, type Link} from '@chicoryspring/links';
import type {FleetAgent} from './fleet_agent.js';
import type {FleetViews} from './fleet_views.js';

/** Minimum time between two measurements of a worker that count. */
const MIN_MEASUREMENT_INTERVAL_MILLISECONDS = 450;

/** Feeds the interference model from reports and publishes its rows. */
export class InterferenceObserver {
  readonly model = new InterferenceModel();
  private readonly observedAt = new Map<string, number>();
  /** Links of agents that know what was published. */
  private readonly informedLinks = new Set<Link>();

  constructor(
    private readonly views: FleetViews,
    private readonly clock: Clock,
  ) {}

  /** Applies what an agent measured, unless the last was too recent. */
  observe(agent: FleetAgent): void {
    const now = this.clock.now();
    const last = this.observedAt.get(agent.name) ?? 0;
    if (now - last < MIN_MEASUREMENT_INTERVAL_MILLISECONDS) return;
    const view = this.views.viewOf(agent);
    if (!view) return;
    this.observedAt.set(agent.name, now);
    this.model.observe(view.latencyCriticalRuns, view.bestEffortRuns, now);
  }

  /**
   * Merges what an agent knows, as it has answered on its link. The first time it
   * is sent what it doesn't know; those that have answered before, what is new.
   */
  introduce(link: Link, rows: readonly InterferenceRow[]): void {
    const newRows = this.model.seed(rows);
    for (const informed of this.informedLinks) {
      if (informed !== link) notify(informed, newRows);
    }
    if (this.informedLinks.has(link)) return;
    this.informedLinks.add(link);
    notify(link, this.model.rowsBeside(rows));
  }

  /** Sends the rows that have changed to the linked agents that know the others. */
  publish(): void {
    const rows = this.model.rowsToPublish();
    for (const link of this.informedLinks) {
      if (link.isOpen) notify(link, rows);
      else this.informedLinks.delete(link);
    }
  }
}

function notify(link: Link, rows: readonly InterferenceRow[]): void {
  if (rows.length === 0 || !link.isOpen) return;
  link.notify(interferenceLearnedMethod, {rows});
}
