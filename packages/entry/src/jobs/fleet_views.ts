import type {WorkerReport} from '@chicoryspring/contracts';
import {
  WorkerViewBuilder,
  type OwnedTask,
  type PlacedRun,
  type WorkerView,
} from '@chicoryspring/jobs';
import type {FleetAgent} from './fleet_agent.js';
import {RunAgentClient} from './run_agent_client.js';
import type {RunIndex} from './run_index.js';

interface CachedView {
  readonly report: WorkerReport;
  readonly revision: number;
  readonly view: WorkerView | undefined;
}

/**
 * The workers as placement sees them: what their agents report and the runs of
 * this owner. A view is built anew only if one of the two has changed.
 */
export class FleetViews {
  private readonly views = new Map<string, CachedView>();

  constructor(private readonly index: RunIndex) {}

  /** The worker of an agent; undefined while it has none. */
  viewOf({name, report}: FleetAgent): WorkerView | undefined {
    if (!report) return undefined;
    const revision = this.index.revisionOf(name);
    const cached = this.views.get(name);
    if (cached?.report === report && cached.revision === revision)
      return cached.view;
    const view = WorkerViewBuilder.fromReport(report, this.runsOn(name));
    this.views.set(name, {report, revision, view});
    return view;
  }

  /** The runs placed on an agent, with their descriptions. */
  private runsOn(agent: string): readonly PlacedRun[] {
    return this.index.tasksOn(agent).map(task => ({
      ...RunAgentClient.descriptionOf(task),
      task: task.name,
      run: task.run!.run,
      sinceVersion: task.run!.sinceVersion,
      isIsolated: isWaitingInIsolation(task),
    }));
  }
}

/** Whether an isolated run was ordered that no report shows as begun. */
function isWaitingInIsolation({run, crashes}: OwnedTask): boolean {
  return crashes.isSuspect && run?.phase === 'starting';
}
