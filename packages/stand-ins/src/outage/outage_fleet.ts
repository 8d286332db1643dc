import {JobFleetFixture} from '../jobs/job_fleet_fixture.js';
import {MemoryNetwork} from './memory_network.js';
import {OutageAgent} from './outage_agent.js';
import {OutageEntry} from './outage_entry.js';

const STEP_MILLISECONDS = 20;
const SUBMIT_MILLISECONDS = 2_000;

/**
 * Entries and agents in one process, each with a store that may turn it away.
 *
 * Every entry that runs is under its name; one that is killed may start again under
 * the name that it had.
 */
export class OutageFleet {
  readonly parts = new JobFleetFixture();
  readonly network = new MemoryNetwork();
  readonly accepted: string[] = [];
  private readonly running = new Map<string, OutageEntry>();
  private readonly startedAgents: OutageAgent[] = [];

  get entries(): readonly OutageEntry[] {
    return [...this.running.values()];
  }

  get agents(): readonly OutageAgent[] {
    return this.startedAgents;
  }

  /** The entry that owns the shard of a job under its lease, if there is one. */
  ownerOf(job: string): OutageEntry | undefined {
    return this.entries.find(one => one.owns(job));
  }

  startEntry(name: string): OutageEntry {
    const entry = new OutageEntry(this.parts, this.network, name);
    this.running.set(name, entry);
    entry.start();
    return entry;
  }

  killEntry({name}: OutageEntry): void {
    this.running.get(name)?.kill();
    this.running.delete(name);
  }

  startAgent(name: string): OutageAgent {
    const agent = new OutageAgent(this.parts, this.network, name);
    this.startedAgents.push(agent);
    agent.start();
    return agent;
  }

  /** Ends every fault of the store and of the network. */
  recover(): void {
    this.parts.store.isDown = false;
    this.network.joinAll();
    for (const one of [...this.entries, ...this.agents]) one.store.serve();
  }

  /** Submits a job to the owner of its shard; false if it isn't accepted. */
  async submit(...job: Parameters<JobFleetFixture['job']>): Promise<boolean> {
    const submitted = this.parts.job(...job);
    const deadline = this.parts.clock.now() + SUBMIT_MILLISECONDS;
    const owner = this.ownerOf(submitted.id)?.owner;
    const answer = owner?.submit(submitted, deadline);
    const status = await answer?.catch(() => undefined);
    if (status === undefined) return false;
    this.accepted.push(submitted.id);
    return true;
  }

  /** Lets time pass in small steps, each of which begins with the given call. */
  async pass(milliseconds: number, begin = () => {}): Promise<void> {
    const {clock} = this.parts;
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
      begin();
      await clock.advance(STEP_MILLISECONDS);
    }
  }
}
