import type {OutageAgent} from './outage_agent.js';
import type {OutageEntry} from './outage_entry.js';
import {OutageFleet} from './outage_fleet.js';

const START_MILLISECONDS = 3_000;
const JOB = 'j';
const TASK_COUNT = 6;

/**
 * Two entries, one of which owns a job of long-running tasks on three agents, and is
 * to lose it.
 */
export class TakeoverFixture {
  readonly taskCount = TASK_COUNT;

  private constructor(
    readonly fleet: OutageFleet,
    /** The entry that owns the job at first. */
    readonly owner: OutageEntry,
    readonly other: OutageEntry,
    /** The agent that is to be out of reach. */
    readonly agent: OutageAgent,
  ) {}

  static async open(): Promise<TakeoverFixture> {
    const fleet = new OutageFleet();
    for (const name of ['one', 'two']) fleet.startEntry(name);
    for (const name of ['a', 'b', 'c']) fleet.startAgent(name);
    await fleet.pass(START_MILLISECONDS);
    void fleet.submit(JOB, {count: TASK_COUNT, isLasting: true});
    await fleet.pass(START_MILLISECONDS);
    const owner = fleet.ownerOf(JOB)!;
    const other = fleet.entries.find(one => one !== owner)!;
    return new TakeoverFixture(fleet, owner, other, fleet.agents[0]!);
  }

  /** The entry that owns the job under its lease now, if there is one. */
  get currentOwner(): OutageEntry | undefined {
    return this.fleet.ownerOf(JOB);
  }

  /** Runs that began while another one of their task went on. */
  get concurrentRuns(): readonly string[] {
    return this.fleet.parts.history.concurrentRuns;
  }

  /** The store turns the owner and the agent away. */
  turnAway(revokesLease: boolean): void {
    this.owner.store.turnAway(revokesLease);
    this.agent.store.turnAway(false);
  }

  /** Names of the tasks that run, on all agents but the one out of reach if asked. */
  runningTasks(isReachableOnly = false): ReadonlySet<string> {
    const agents = this.fleet.agents.filter(
      one => !isReachableOnly || one !== this.agent,
    );
    return new Set(agents.flatMap(one => [...one.worker.running.keys()]));
  }
}
