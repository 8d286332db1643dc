import {toChicoryspringError, type Clock} from '@chicoryspring/contracts';
import {
  StopLog,
  type Metrics,
  type StateLog,
} from '@chicoryspring/observability';

/** Records events of an agent as metrics and state log lines. */
export class AgentObserver {
  constructor(
    private readonly metrics: Metrics,
    private readonly stateLog: StateLog,
  ) {}

  /** Logs a change of the state of the agent. */
  changed(event: 'agent started' | 'agent draining'): void {
    this.stateLog.change(event, {});
  }

  /** The log of the steps of a stop. */
  stopLog(clock: Clock, deadline: number): StopLog {
    return new StopLog(this.stateLog, clock, deadline);
  }

  linkOpened(): void {
    this.metrics.increment('agent.links_opened');
  }

  /** Runs a task start and counts it as accepted or rejected. */
  async countStart(start: () => Promise<unknown>): Promise<void> {
    try {
      await start();
      this.metrics.increment('agent.starts');
    } catch (thrown) {
      const {kind} = toChicoryspringError(thrown);
      this.metrics.increment('agent.start_refusals', {kind});
      throw thrown;
    }
  }

  loadReported(links: number, requestsInFlight: number): void {
    this.metrics.gauge('agent.links', links);
    this.metrics.gauge('agent.requests_in_flight', requestsInFlight);
  }
}
