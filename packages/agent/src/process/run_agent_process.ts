import {setMaxListeners} from 'node:events';
import {
  SystemClock,
  waitUntilDeadline,
  type EntryMember,
  type StopSchedule,
} from '@chicoryspring/contracts';
import {
  LinkDialer,
  LinkMethodRegistry,
  entriesKnownMethod,
} from '@chicoryspring/links';
import {
  StopLog,
  superviseLoop,
  type StateLog,
} from '@chicoryspring/observability';
import {EntryDirectory} from '../entry_peer/entry_directory.js';
import {EntryDiscovery} from '../entry_peer/entry_discovery.js';
import {RunAgent} from '../runs/run_agent.js';

const MILLISECONDS = 1_000;
/** Time in which the last report reaches the owners. */
const LAST_REPORT_MILLISECONDS = 100;

interface RunAgentSettings {
  /** Name of the agent, unique in the fleet. */
  readonly name: string;
  /** Shared key of the fleet's links; a secret. */
  readonly linkKey: string;
}

/**
 * The agent process for runs of jobs, whose worker announces itself.
 *
 * `AgentProcess` is the process for tasks and requests of callers.
 */
export class RunAgentProcess {
  readonly clock = new SystemClock();
  readonly agent: RunAgent;
  private readonly registry = new LinkMethodRegistry();
  private readonly entries: EntryDirectory;
  private readonly discovery: EntryDiscovery;
  private readonly stopping = new AbortController();

  constructor(
    settings: RunAgentSettings,
    /** Lists the registered entries. */
    discover: () => Promise<readonly EntryMember[]>,
    private readonly log: StateLog,
  ) {
    const {name, linkKey} = settings;
    const {clock, registry} = this;
    const entries = () => this.entries;
    const startInstant = clock.now() - process.uptime() * MILLISECONDS;
    this.agent = new RunAgent(name, entries, clock, log, startInstant);
    this.agent.serve(registry);
    registry.register(entriesKnownMethod, async ({entries}) => {
      this.entries.reconcile(entries);
      return null;
    });
    const createDialer = (url: string) =>
      new LinkDialer(url, registry, clock, linkKey);
    this.entries = new EntryDirectory(name, [], createDialer, link =>
      this.agent.join(link),
    );
    this.discovery = new EntryDiscovery(
      this.entries,
      discover,
      () => this.agent.isPermittedUnderLease,
      clock,
      log,
    );
  }

  /** Starts the background loops. */
  start(): void {
    // Many loops listen to this signal; Node.js would warn of a listener leak.
    setMaxListeners(0, this.stopping.signal);
    this.log.change('agent started', {});
    const {clock, log} = this;
    const {signal} = this.stopping;
    const supervision = {clock, log, signal};
    void superviseLoop('reports', () => this.agent.run(signal), supervision);
    const discover = () => this.discovery.run(signal);
    void superviseLoop('discovery', discover, supervision);
  }

  /**
   * Ends the calls in progress, but not past the time for answers, and stops;
   * runs continue until the lease of the worker expires.
   */
  async stop(stop: StopSchedule): Promise<void> {
    const log = new StopLog(this.log, this.clock, stop.deadline);
    this.agent.retire();
    const heard = this.clock.now() + LAST_REPORT_MILLISECONDS;
    await this.clock.sleepUntil(Math.min(heard, stop.answersDue));
    const drained = this.registry.drained();
    await waitUntilDeadline(this.clock, stop.answersDue, drained);
    log.step('calls of entries ended');
    this.stopping.abort();
    this.entries.stop();
  }
}
