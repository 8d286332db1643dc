import {createSeededRandom} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import type {OwnerFixture} from './owner_fixture.js';

const AGENTS = ['a', 'b', 'c'];
const MEMBERS = 5;
const TROUBLES = 4;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const MAX_LINK_DELAY_MILLISECONDS = 300;
const MAX_STEP_MILLISECONDS = 600;
/** Time within which a gang must run again after a trouble. */
const RECOVERY_MILLISECONDS = 40_000;

interface Machine {
  readonly name: string;
  readonly agent: ReturnType<JobFleetFixture['startAgent']>;
  readonly worker: FakeRunWorker;
  readonly life: number;
}

/** A gang that makes checkpoints while workers crash and owners change. */
export class GangCheckpointSoak {
  readonly fleet = new JobFleetFixture();
  private readonly random: () => number;
  private readonly machines = new Map<string, Machine>();
  private owner: OwnerFixture | undefined;
  private ownerCount = 0;
  private checkpointCount = 0;

  constructor(seed: number) {
    this.random = createSeededRandom(seed);
  }

  /** Lets a gang run through all troubles to its end; returns its state. */
  async run(): Promise<string> {
    const {fleet} = this;
    for (const name of AGENTS) {
      const worker = new FakeRunWorker(fleet.clock, fleet.history);
      const agent = fleet.startAgent(name, worker);
      this.machines.set(name, {name, agent, worker, life: 1});
    }
    const {owner} = await this.changeOwner();
    const step = {count: MEMBERS, isGang: true};
    const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
    await fleet.run(owner.submit(fleet.job('j', step), deadline));
    for (let trouble = 0; trouble < TROUBLES; trouble += 1) {
      await this.passUntilAllRun();
      await this.makeCheckpoints();
      if (this.random() < 0.5) await this.crashWorker();
      if (this.random() < 0.5) await this.changeOwner();
      await this.breakGang();
    }
    await this.passUntilAllRun();
    for (const [task, worker] of this.runningTasks()) worker.end(task, 'done');
    await fleet.pass(2 * ROUND_MILLISECONDS);
    return this.owner!.owner.status('j');
  }

  /** Each member makes checkpoints at other times. */
  private async makeCheckpoints(): Promise<void> {
    for (const [task, worker] of this.runningTasks()) {
      this.save(worker, task);
      await this.passSome();
    }
  }

  /** A worker crashes, and comes back as another incarnation. */
  private async crashWorker(): Promise<void> {
    const {fleet} = this;
    const machine = this.pick([...this.machines.values()]);
    machine.worker.exit();
    await this.passSome();
    const life = machine.life + 1;
    const worker = new FakeRunWorker(fleet.clock, fleet.history);
    machine.agent.register(worker, `${machine.name}@${life}`);
    this.machines.set(machine.name, {...machine, worker, life});
  }

  /** The members that are left end one after the other. */
  private async breakGang(): Promise<void> {
    for (const [task, worker] of this.runningTasks()) {
      if (this.random() < 0.5) this.save(worker, task);
      worker.end(task, 'broken');
      await this.passSome();
    }
  }

  private async changeOwner(): Promise<OwnerFixture> {
    const {fleet} = this;
    this.owner?.kill();
    this.ownerCount += 1;
    const owner = await fleet.startOwner(`owner-${this.ownerCount}`, {
      random: this.random,
    });
    this.owner = owner;
    for (const {agent} of this.machines.values()) {
      const delay = this.random() * MAX_LINK_DELAY_MILLISECONDS;
      fleet.link(agent, owner, delay);
    }
    await fleet.pass(ROUND_MILLISECONDS);
    return owner;
  }

  private async passUntilAllRun(): Promise<void> {
    const {clock} = this.fleet;
    const latest = clock.now() + RECOVERY_MILLISECONDS;
    while (this.runningTasks().length < MEMBERS) {
      if (clock.now() > latest) throw new Error('the gang does not run');
      await this.fleet.pass(ROUND_MILLISECONDS);
    }
  }

  private async passSome(): Promise<void> {
    await this.fleet.pass(this.random() * MAX_STEP_MILLISECONDS);
  }

  private save(worker: FakeRunWorker, task: string): void {
    this.checkpointCount += 1;
    worker.saveCheckpoint(task, `checkpoint-${this.checkpointCount}`);
  }

  private runningTasks(): readonly (readonly [string, FakeRunWorker])[] {
    return [...this.machines.values()].flatMap(({worker}) =>
      [...worker.running.keys()].map(task => [task, worker] as const),
    );
  }

  private pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.random() * values.length)]!;
  }
}
