import {
  ResourcesArithmetic,
  type Clock,
  type Resources,
  type WorkerLoad,
} from '@chicoryspring/contracts';
import {agentLoadMethod, type Link} from '@chicoryspring/links';
import type {AgentObserver} from '../observation/agent_observer.js';
import type {WorkerClient} from '../worker_client/worker_client_types.js';

/** Time between two looks at the load; a change is reported at once then. */
const LOOK_MILLISECONDS = 2_000;
/** Time after which an unchanged load is reported again. */
const UNCHANGED_MILLISECONDS = 10_000;

/** Reports the load of a worker to every entry: on change, else slowly. */
export class LoadReporter {
  private used: Resources = ResourcesArithmetic.none;
  private lastReport = '';
  private nextDeadline = 0;

  constructor(
    private readonly workerName: string,
    private readonly worker: Pick<WorkerClient, 'usage'>,
    private readonly links: () => readonly Link[],
    private readonly load: () => WorkerLoad,
    private readonly clock: Clock,
    private readonly observer: Pick<AgentObserver, 'loadReported'>,
  ) {}

  /** Use of the worker as it was last measured. */
  get measured(): Resources {
    return this.used;
  }

  /** The task that reports until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.used = await this.worker.usage().catch(() => this.used);
      this.reportDue();
      const next = this.clock.now() + LOOK_MILLISECONDS;
      await this.clock.sleepUntil(next, signal);
    }
  }

  private reportDue(): void {
    const load = this.load();
    const links = this.links();
    this.observer.loadReported(links.length, load.requestsInFlight);
    const text = JSON.stringify(load);
    const now = this.clock.now();
    if (text === this.lastReport && now < this.nextDeadline) return;
    this.lastReport = text;
    this.nextDeadline = now + UNCHANGED_MILLISECONDS;
    const report = {worker: this.workerName, load};
    for (const link of links) link.notify(agentLoadMethod, report);
  }
}
