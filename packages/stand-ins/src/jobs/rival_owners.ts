import type {Clock, Job, JobStep} from '@chicoryspring/contracts';
import type {Store} from '@chicoryspring/store';
import {AcknowledgedEndCheck} from './acknowledged_end_check.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import type {OwnerFixture} from './owner_fixture.js';
import type {OwnershipChanges} from './ownership_changes_types.js';
import {ProcessSuspension} from './process_suspension.js';
import type {RivalEntry} from './rival_entry_types.js';
import type {RivalInstances} from './rival_instances_types.js';
import type {RivalOwnersOptions} from './rival_owners_options_types.js';
import {ShiftedClock} from './shifted_clock.js';
import {SuspendableClock} from './suspendable_clock.js';
import {SuspendableStore} from './suspendable_store.js';
import type {UnreliableAgentLink} from './unreliable_agent_link.js';
import {UnreliableStore} from './unreliable_store.js';

const STEP_MILLISECONDS = 20;
const SUBMIT_TIMEOUT_MILLISECONDS = 2_000;
const SUBMIT_ATTEMPTS = 60;
const RETRY_MILLISECONDS = 300;
const MAX_LINK_FAULT_MILLISECONDS = 15_000;
/** A slower link would be closed by an end that waits for an answer. */
const MAX_LINK_DELAY_MILLISECONDS = 2_500;
const MAX_OCCURRENCES = 3;
const MAX_INTERVAL_MILLISECONDS = 2_500;
const SMALL = {processors: 0.1, memoryMebibytes: 1, accelerators: 0};
/** Probabilities for each step. */
const END_PROBABILITY = 0.05;
const SUBMIT_PROBABILITY = 0.03;
const STORE_CHANGE_PROBABILITY = 0.01;
const SUCCESS_PROBABILITY = 0.85;

interface EntryParts {
  readonly store: Store;
  readonly random: () => number;
  readonly clock: Clock;
}

/** Three entries that take the shards from each other, and some instances. */
export class RivalOwners {
  readonly fleet = new JobFleetFixture();
  readonly accepted: string[] = [];
  private readonly instances: RivalInstances;
  private readonly endCheck: AcknowledgedEndCheck;
  private readonly entries: RivalEntry[] = [];
  private ownershipChanges: OwnershipChanges | undefined;
  private submittedCount = 0;

  constructor(
    private readonly random: () => number,
    private readonly options: RivalOwnersOptions,
  ) {
    this.instances = options.createInstances(this.fleet, random);
    this.endCheck = new AcknowledgedEndCheck(this.instances.workers);
  }

  async start(): Promise<void> {
    const {fleet, random} = this;
    for (const name of ['one', 'two', 'three'])
      this.entries.push(await this.startEntry(name));
    const {createOwnershipChanges} = this.options;
    const {entries} = this;
    this.ownershipChanges = createOwnershipChanges(
      entries,
      fleet.clock,
      random,
    );
  }

  /** Lets time pass; with trouble, jobs come and owners and stores change. */
  async pass(milliseconds: number, hasTrouble: boolean): Promise<void> {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
      if (hasTrouble) this.maybeTrouble();
      this.endSomeRuns();
      await this.fleet.clock.advance(STEP_MILLISECONDS);
      this.endCheck.check();
    }
  }

  /** Ends all faults of stores and links and lets one entry own every shard. */
  recover(): void {
    for (const {store} of this.entries) store.state = 'reliable';
    for (const link of this.links) link.recover();
    this.instances.recover();
    this.ownershipChanges!.recover();
  }

  /** Runs that began after an end of their task was acknowledged. */
  get repeatedRuns(): readonly string[] {
    return this.endCheck.repeatedRuns;
  }

  /** Ids of the accepted jobs that are not complete or failed. */
  get unfinished(): readonly string[] {
    const isEnded = (id: string) =>
      ['complete', 'failed'].includes(this.ownerOf(id).owner.status(id));
    return this.accepted.filter(id => !isEnded(id));
  }

  private get links(): readonly UnreliableAgentLink[] {
    return this.entries.flatMap(entry => entry.links);
  }

  private ownerOf(job: string): OwnerFixture {
    return this.ownershipChanges!.ownerOf(job);
  }

  private async startEntry(name: string): Promise<RivalEntry> {
    const {fleet, random} = this;
    const store = new UnreliableStore(fleet.store, fleet.clock, random);
    const clock = this.clockOfEntry();
    const parts = {store, random, clock};
    const owner = await fleet.startOwner(
      name,
      this.options.suspendsEntries ? suspendable(parts) : parts,
    );
    const links = this.instances.linkTo(owner);
    return {owner, store, links};
  }

  private maybeTrouble(): void {
    const {random} = this;
    if (random() < SUBMIT_PROBABILITY) void this.submitJob();
    this.ownershipChanges!.maybeChange();
    if (random() < STORE_CHANGE_PROBABILITY) {
      const states = ['reliable', 'overloaded', 'unreachable'] as const;
      this.pick(this.entries).store.state = this.pick(states);
    }
    const {linkFaultProbability} = this.options;
    if (linkFaultProbability > 0 && random() < linkFaultProbability)
      this.harmLink();
    this.instances.maybeFail();
  }

  private harmLink(): void {
    const {random} = this;
    const faults = ['cut', 'agent-unheard', 'owner-unheard', 'slow'] as const;
    const duration = MAX_LINK_FAULT_MILLISECONDS * random();
    const delay = MAX_LINK_DELAY_MILLISECONDS * random();
    const deadline = this.fleet.clock.now() + duration;
    void this.pick(this.links).harm(this.pick(faults), deadline, delay);
  }

  private clockOfEntry() {
    const {clock} = this.fleet;
    const most = this.options.maxClockShiftMilliseconds;
    if (most === 0) return clock;
    return new ShiftedClock(clock, most * (2 * this.random() - 1));
  }

  private pick<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.random() * choices.length)]!;
  }

  private async submitJob(): Promise<void> {
    const id = `j${this.submittedCount}`;
    this.submittedCount += 1;
    const count = 1 + Math.floor(2 * this.random());
    const steps = [
      {count, resources: SMALL},
      {after: [0], resources: SMALL},
    ];
    await this.submitUntilAccepted(this.jobOf(id, steps));
  }

  private jobOf(id: string, steps: readonly Partial<JobStep>[]): Job {
    const {fleet, random} = this;
    const job = fleet.job(id, ...steps);
    const share = this.options.occurrencesShare;
    if (share === 0 || random() >= share) return job;
    const intervalMilliseconds = MAX_INTERVAL_MILLISECONDS * random();
    const firstInstant = fleet.clock.now() + intervalMilliseconds * random();
    const count = 1 + Math.floor(MAX_OCCURRENCES * random());
    return {...job, occurrences: {count, firstInstant, intervalMilliseconds}};
  }

  private async submitUntilAccepted(job: Job): Promise<void> {
    const {clock} = this.fleet;
    for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt += 1) {
      try {
        const deadline = clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
        const {owner, suspension} = this.ownerOf(job.id);
        if (suspension.isSuspended) await suspension.awake();
        await owner.submit(job, deadline);
        this.accepted.push(job.id);
        return;
      } catch {
        // Refused, or its outcome is unknown: a repetition is idempotent.
        await clock.sleepUntil(clock.now() + RETRY_MILLISECONDS);
      }
    }
  }

  private endSomeRuns(): void {
    for (const worker of this.instances.workers) {
      for (const task of [...worker.running.keys()]) {
        if (this.random() >= END_PROBABILITY) continue;
        const isSuccess = this.random() < SUCCESS_PROBABILITY;
        worker.end(task, isSuccess ? 'done' : 'failed');
      }
    }
  }
}

/** What an entry is started with, for one that may be suspended. */
function suspendable(parts: EntryParts) {
  const suspension = new ProcessSuspension();
  return {
    ...parts,
    store: new SuspendableStore(parts.store, suspension),
    clock: new SuspendableClock(parts.clock, suspension),
    suspension,
  };
}
