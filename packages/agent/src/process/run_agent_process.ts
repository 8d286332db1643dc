import {setMaxListeners} from 'node:events';
import {SystemClock, type EntryMember} from '@chicoryspring/contracts';
import {LinkMethodRegistry, entriesKnownMethod} from '@chicoryspring/links';
import type {StateLog} from '@chicoryspring/observability';
import {EntryDirectory} from '../entry_peer/entry_directory.js';
import {EntryDiscovery} from '../entry_peer/entry_discovery.js';
import {RunAgent} from '../runs/run_agent.js';

const MILLISECONDS = 1_000;

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
    this.entries = new EntryDirectory(name, [], registry, linkKey, link =>
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
    void this.agent.run(this.stopping.signal);
    void this.discovery.run(this.stopping.signal);
  }

  /** Stops the process; runs continue until the lease of the worker expires. */
  stop(): void {
    this.log.change('agent stopping', {});
    this.stopping.abort();
    this.entries.stop();
  }
}
