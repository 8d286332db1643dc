import {EntryDirectory} from '@chicoryspring/agent/entry_peer/entry_directory.js';
import {EntryDiscovery} from '@chicoryspring/agent/entry_peer/entry_discovery.js';
import {RunAgent} from '@chicoryspring/agent';
import {decodeJson, entryMemberSchema} from '@chicoryspring/contracts';
import {LiveState} from '@chicoryspring/entry/live_state/live_state.js';
import {LinkMethodRegistry, entriesKnownMethod} from '@chicoryspring/links';
import {FakeRunWorker} from '../jobs/fake_run_worker.js';
import type {JobFleetFixture} from '../jobs/job_fleet_fixture.js';
import {MemoryDialer} from './memory_dialer.js';
import type {MemoryNetwork} from './memory_network.js';
import {PartialStore} from './partial_store.js';

/**
 * One agent process with a worker. It finds the entries in the store, which may
 * turn it away, and by its links.
 */
export class OutageAgent {
  readonly registry = new LinkMethodRegistry();
  readonly clock;
  readonly store: PartialStore;
  readonly worker: FakeRunWorker;
  private readonly agent: RunAgent;
  private readonly entries: EntryDirectory;
  private readonly discovery: EntryDiscovery;

  constructor(
    fleet: JobFleetFixture,
    network: MemoryNetwork,
    readonly name: string,
  ) {
    const {clock, log} = fleet;
    this.clock = clock;
    this.store = new PartialStore(fleet.store, clock);
    this.worker = new FakeRunWorker(clock, fleet.history);
    this.agent = new RunAgent(name, () => this.entries, clock, log);
    this.entries = new EntryDirectory(
      name,
      [],
      url => new MemoryDialer(network, this, url),
      link => this.agent.join(link),
    );
    this.discovery = new EntryDiscovery(
      this.entries,
      () => this.discover(),
      () => this.agent.isPermittedUnderLease,
      clock,
      log,
    );
    void this.agent.registerWorker(
      fleet.describeWorker(name, `${name}@1`),
      () => this.worker,
    );
  }

  start(): void {
    const {signal} = new AbortController();
    this.agent.serve(this.registry);
    this.registry.register(entriesKnownMethod, async ({entries}) => {
      this.entries.reconcile(entries);
      return null;
    });
    void this.agent.run(signal);
    void this.discovery.run(signal);
  }

  private async discover() {
    const {values} = await this.store.readPrefix(LiveState.entryKey(''));
    return values.flatMap(({value}) => {
      const decoded = decodeJson(entryMemberSchema, value);
      return decoded.isReadable ? [decoded.value] : [];
    });
  }
}
