import {
  ResourcesArithmetic,
  type Clock,
  type Resources,
  type WorkerLoad,
} from '@chicoryspring/contracts';
import {agentLoadMethod, type Link} from '@chicoryspring/links';
import type {AgentObserver} from '../observation/agent_observer.js';
import type {WorkerClient} from '../worker_client/worker_client_types.js';

/** Time between two measurements; a changed load is reported after each. */
const MEASURE_INTERVAL_MILLISECONDS = 2_000;
/** Time after which an unchanged load is reported again. */
const UNCHANGED_INTERVAL_MILLISECONDS = 10_000;

/** Reports the load of a worker to all entries on change, else at intervals. */
export class LoadReporter {
  private lastMeasured: Resources = ResourcesArithmetic.none;
  private lastReport = '';
  private nextReportAt = 0;

  constructor(
    private readonly workerName: string,
    private readonly worker: Pick<WorkerClient, 'usage'>,
    private readonly links: () => readonly Link[],
    private readonly load: () => WorkerLoad,
    private readonly clock: Clock,
    private readonly observer: Pick<AgentObserver, 'loadReported'>,
  ) {}

  /** Last measured resource usage of the worker. */
  get measured(): Resources {
    return this.lastMeasured;
  }

  /** The background loop, which runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.lastMeasured = await this.worker
        .usage()
        .catch(() => this.lastMeasured);
      this.reportIfDue();
      const next = this.clock.now() + MEASURE_INTERVAL_MILLISECONDS;
      await this.clock.sleepUntil(next, signal);
    }
  }

  private reportIfDue(): void {
    const load = this.load();
    const links = this.links();
    this.observer.loadReported(links.length, load.requestsInFlight);
    const text = JSON.stringify(load);
    const now = this.clock.now();
    if (text === this.lastReport && now < this.nextReportAt) return;
    this.lastReport = text;
    this.nextReportAt = now + UNCHANGED_INTERVAL_MILLISECONDS;
    const report = {worker: this.workerName, load};
    for (const link of links) link.notify(agentLoadMethod, report);
  }
}
