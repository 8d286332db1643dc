import * as assert from 'uvu/assert';
import type {Job} from '@chicoryspring/contracts';
import {createSeededRandom, describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import type {OwnerFixture} from './owner_fixture.js';
import {UnreliableStore} from './unreliable_store.js';

/** Seeds that have failed: 112, an earlier owner settled an unknown job's ending. */
const REGRESSION_SEEDS = [112];
/** First and last of the other seeds; `SOAK_SEEDS=1-300` asks for more. */
const [FIRST_SEED = 1, LAST_SEED = FIRST_SEED] = (
  process.env['SOAK_SEEDS'] ?? '1-12'
)
  .split('-')
  .map(Number);
const STEP_MILLISECONDS = 20;
const TROUBLE_MILLISECONDS = 50_000;
/** Time without trouble at the end, in which every job can end. */
const RECOVERY_MILLISECONDS = 25_000;
const SUBMIT_TIMEOUT_MILLISECONDS = 2_000;
const SUBMIT_ATTEMPTS = 60;
const RETRY_MILLISECONDS = 300;
const MAX_NOTICE_MILLISECONDS = 4_000;
const SMALL = {processors: 0.1, memoryMebibytes: 1, accelerators: 0};
/** Probabilities for each step. */
const END_PROBABILITY = 0.05;
const SUBMIT_PROBABILITY = 0.03;
const TAKEOVER_PROBABILITY = 0.006;
const STORE_CHANGE_PROBABILITY = 0.01;
const SUCCESS_PROBABILITY = 0.85;

/** Three entries that take the shards from each other, and three workers. */
class RivalOwners {
  readonly fleet = new JobFleetFixture();
  readonly accepted: string[] = [];
  /** Runs that began after an end of their task was acknowledged. */
  readonly repeated: string[] = [];
  private readonly workers = ['a', 'b', 'c'].map(
    () => new FakeRunWorker(this.fleet.clock, this.fleet.history),
  );
  private readonly owners: OwnerFixture[] = [];
  private readonly stores: UnreliableStore[] = [];
  private readonly checkedRuns = new Map<FakeRunWorker, number>();
  private readonly acknowledgedTasks = new Set<string>();
  private current: OwnerFixture | undefined;
  private submittedCount = 0;

  constructor(private readonly random: () => number) {}

  async start(): Promise<void> {
    const {fleet, random} = this;
    const agents = ['a', 'b', 'c'].map((name, at) =>
      fleet.startAgent(name, this.workers[at]!),
    );
    for (const name of ['one', 'two', 'three']) {
      const store = new UnreliableStore(fleet.store, fleet.clock, random);
      const owner = await fleet.startOwner(name, {store, random});
      for (const agent of agents) fleet.link(agent, owner);
      this.stores.push(store);
      this.owners.push(owner);
    }
    this.current = this.owners[0];
  }

  /** Lets time pass; with trouble, jobs come and owners and stores change. */
  async pass(milliseconds: number, hasTrouble: boolean): Promise<void> {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
      if (hasTrouble) this.maybeTrouble();
      this.endSomeRuns();
      await this.fleet.clock.advance(STEP_MILLISECONDS);
      this.checkRuns();
    }
  }

  /** Ends all faults of the stores and lets one entry own every shard. */
  recover(): void {
    for (const store of this.stores) store.state = 'reliable';
    void this.takeOver(this.owners[0]!);
  }

  /** Ids of the accepted jobs that are not complete or failed. */
  get unfinished(): readonly string[] {
    const isEnded = (id: string) =>
      ['complete', 'failed'].includes(this.current!.owner.status(id));
    return this.accepted.filter(id => !isEnded(id));
  }

  private maybeTrouble(): void {
    const {random} = this;
    if (random() < SUBMIT_PROBABILITY) void this.submitJob();
    if (random() < TAKEOVER_PROBABILITY)
      void this.takeOver(this.pick(this.owners));
    if (random() < STORE_CHANGE_PROBABILITY) {
      const states = ['reliable', 'overloaded', 'unreachable'] as const;
      this.pick(this.stores).state = this.pick(states);
    }
  }

  private pick<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.random() * choices.length)]!;
  }

  private async takeOver(owner: OwnerFixture): Promise<void> {
    const {clock} = this.fleet;
    const previous = this.current!;
    const noticeAt = clock.now() + MAX_NOTICE_MILLISECONDS * this.random();
    previous.lapseUnnoticed();
    this.current = owner;
    await owner.registerAgain();
    void this.noticeLater(previous, noticeAt);
    if (this.current !== owner) owner.lapseUnnoticed();
    while (this.current === owner) {
      // The next round acquires what this one could not.
      await owner.acquire().catch(() => undefined);
      await clock.sleepUntil(clock.now() + RETRY_MILLISECONDS);
    }
  }

  private async noticeLater(
    owner: OwnerFixture,
    noticeAt: number,
  ): Promise<void> {
    await this.fleet.clock.sleepUntil(noticeAt);
    if (this.current !== owner) owner.noticeLoss();
  }

  private async submitJob(): Promise<void> {
    const id = `j${this.submittedCount}`;
    this.submittedCount += 1;
    const count = 1 + Math.floor(2 * this.random());
    const steps = [
      {count, resources: SMALL},
      {after: [0], resources: SMALL},
    ];
    await this.submitUntilAccepted(this.fleet.job(id, ...steps));
  }

  private async submitUntilAccepted(job: Job): Promise<void> {
    const {clock} = this.fleet;
    for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt += 1) {
      try {
        const deadline = clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
        await this.current!.owner.submit(job, deadline);
        this.accepted.push(job.id);
        return;
      } catch {
        // Refused, or its outcome is unknown: a repetition is idempotent.
        await clock.sleepUntil(clock.now() + RETRY_MILLISECONDS);
      }
    }
  }

  private endSomeRuns(): void {
    for (const worker of this.workers) {
      for (const task of [...worker.running.keys()]) {
        if (this.random() >= END_PROBABILITY) continue;
        const isSuccess = this.random() < SUCCESS_PROBABILITY;
        worker.end(task, isSuccess ? 'done' : 'failed');
      }
    }
  }

  private checkRuns(): void {
    for (const worker of this.workers) {
      const checked = this.checkedRuns.get(worker) ?? 0;
      const began = worker.began.slice(checked);
      this.checkedRuns.set(worker, checked + began.length);
      const isRepeated = (run: string) =>
        this.acknowledgedTasks.has(run.split('#')[0]!);
      this.repeated.push(...began.filter(isRepeated));
    }
    for (const worker of this.workers)
      for (const task of worker.acknowledgedDone)
        this.acknowledgedTasks.add(task);
  }
}

function range(first: number, last: number): readonly number[] {
  return Array.from({length: last - first + 1}, (_, at) => first + at);
}

describe('rival owners of jobs', () => {
  describe('over stores that lose and delay calls', test => {
    for (const seed of [...REGRESSION_SEEDS, ...range(FIRST_SEED, LAST_SEED)]) {
      test(`start no task after its acknowledged end, seed ${seed}`, async () => {
        const rivals = new RivalOwners(createSeededRandom(seed));
        await rivals.start();
        await rivals.pass(TROUBLE_MILLISECONDS, true);
        rivals.recover();
        await rivals.pass(RECOVERY_MILLISECONDS, false);
        assert.equal(rivals.repeated, []);
        assert.equal(rivals.fleet.history.repeatedRuns, []);
        assert.equal(rivals.fleet.history.concurrentRuns, []);
        assert.equal(rivals.unfinished, []);
        assert.ok(rivals.accepted.length > 0);
      });
    }
  });
});
