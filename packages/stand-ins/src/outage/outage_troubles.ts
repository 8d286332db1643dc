import type {OutageEntry} from './outage_entry.js';
import type {OutageFleet} from './outage_fleet.js';

/** Probabilities for each step of 20 ms. */
const SUBMIT_PROBABILITY = 0.02;
const TURN_AWAY_PROBABILITY = 0.004;
const OUTAGE_PROBABILITY = 0.001;
const KILL_PROBABILITY = 0.003;
const CUT_PROBABILITY = 0.002;
/** While there are troubles, and after them. */
const END_PROBABILITY = 0.001;
const FINAL_END_PROBABILITY = 0.02;
const SUCCESS_PROBABILITY = 0.9;
const REVOKE_SHARE = 0.5;
/** Share of the returns of entries at which the store turns others away. */
const TROUBLED_RETURN_SHARE = 0.6;
/** Share of the agents that the store turns away together with an entry. */
const AGENT_SHARE = 0.4;
const MAX_TROUBLE_MILLISECONDS = 20_000;
/** About the time after which the registration of a killed entry ends. */
const MIN_ABSENCE_MILLISECONDS = 1_500;
const MAX_ABSENCE_MILLISECONDS = 6_000;
/** Share of the kills that spare the owner of the shards. */
const OTHER_KILLED_SHARE = 0.7;
/** Least number of entries that run. */
const MIN_ENTRIES = 1;
const SMALL = {processors: 0.1, memoryMebibytes: 1, accelerators: 0};

interface OutageTroublesOptions {
  /** Whether an entry comes at a new address in place of one that was killed. */
  readonly replacesEntries: boolean;
  /** Share of the entries turned away whose calls are carried out all the same. */
  readonly lostAnswerShare: number;
}

const DEFAULT_OPTIONS: OutageTroublesOptions = {
  replacesEntries: false,
  lostAnswerShare: 0,
};

/** Troubles of a fleet, at times and for as long as a seed says. */
export class OutageTroubles {
  private jobCount = 0;
  private replacedCount = 0;
  private hasEnded = false;
  private readonly absent = new Set<string>();

  constructor(
    private readonly fleet: OutageFleet,
    private readonly random: () => number,
    private readonly options = DEFAULT_OPTIONS,
  ) {}

  /** Begins troubles, submits jobs and ends runs, each with its probability. */
  maybeBegin(): void {
    if (this.happens(SUBMIT_PROBABILITY)) this.submit();
    const {entries} = this.fleet;
    if (this.happens(TURN_AWAY_PROBABILITY)) this.turnAway(this.pick(entries));
    if (this.happens(OUTAGE_PROBABILITY)) this.beginOutage();
    if (this.happens(KILL_PROBABILITY)) this.killEntry();
    if (this.happens(CUT_PROBABILITY)) this.cut();
    this.endSomeRuns();
  }

  /** Ends all troubles; the entries that are absent return. */
  endAll(): void {
    this.hasEnded = true;
    for (const name of this.absent) this.fleet.startEntry(name);
    this.absent.clear();
    this.fleet.recover();
  }

  endSomeRuns(): void {
    for (const {worker} of this.fleet.agents) {
      for (const task of [...worker.running.keys()]) {
        if (!this.happens(this.endProbability)) continue;
        const isDone = this.happens(SUCCESS_PROBABILITY);
        worker.end(task, isDone ? 'done' : 'failed');
      }
    }
  }

  private get endProbability(): number {
    return this.hasEnded ? FINAL_END_PROBABILITY : END_PROBABILITY;
  }

  private submit(): void {
    this.jobCount += 1;
    const count = 1 + Math.floor(3 * this.random());
    void this.fleet.submit(`j${this.jobCount}`, {count, resources: SMALL});
  }

  /** Turns an entry and some agents away, all for the same time. */
  private turnAway(entry: OutageEntry): void {
    const {agents} = this.fleet;
    const some = agents.filter(() => this.happens(AGENT_SHARE));
    const stores = [entry, ...some].map(one => one.store);
    const revokes = this.happens(REVOKE_SHARE);
    const {lostAnswerShare} = this.options;
    const losesAnswers = lostAnswerShare > 0 && this.happens(lostAnswerShare);
    for (const store of stores) {
      if (losesAnswers) store.loseAnswers();
      else store.turnAway(revokes);
    }
    this.after(MAX_TROUBLE_MILLISECONDS, 0, () => {
      for (const store of stores) store.serve();
    });
  }

  private beginOutage(): void {
    const {store} = this.fleet.parts;
    store.isDown = true;
    this.after(MAX_TROUBLE_MILLISECONDS, 0, () => (store.isDown = false));
  }

  private killEntry(): void {
    const {fleet} = this;
    if (fleet.entries.length <= MIN_ENTRIES) return;
    const entry = this.pick(this.killable);
    fleet.killEntry(entry);
    const name = this.nameOfNext(entry);
    this.absent.add(name);
    const milliseconds = MAX_ABSENCE_MILLISECONDS - MIN_ABSENCE_MILLISECONDS;
    this.after(milliseconds, MIN_ABSENCE_MILLISECONDS, () => {
      this.absent.delete(name);
      const others = fleet.entries;
      fleet.startEntry(name);
      if (this.happens(TROUBLED_RETURN_SHARE)) this.turnAway(this.pick(others));
    });
  }

  /** The name under which an entry comes after one was killed. */
  private nameOfNext({name}: OutageEntry): string {
    if (!this.options.replacesEntries) return name;
    this.replacedCount += 1;
    return `${name}-${this.replacedCount}`;
  }

  /** Entries of which one may be killed; often without the owner. */
  private get killable(): readonly OutageEntry[] {
    const {entries} = this.fleet;
    const others = entries.filter(one => one.table.ownedShards.length === 0);
    const sparesOwner = others.length > 0 && this.happens(OTHER_KILLED_SHARE);
    return sparesOwner ? others : entries;
  }

  private cut(): void {
    const {entries, agents, network} = this.fleet;
    const one = this.pick(entries).name;
    const other = this.pick([...entries, ...agents]).name;
    network.cut(one, other);
    this.after(MAX_TROUBLE_MILLISECONDS, 0, () => network.join(one, other));
  }

  /**
   * Ends a trouble if not all have ended before: after the least time and a random
   * share of the other one.
   */
  private after(milliseconds: number, least: number, end: () => void): void {
    const {clock} = this.fleet.parts;
    const deadline = clock.now() + least + milliseconds * this.random();
    clock.schedule(deadline, () => {
      if (!this.hasEnded) end();
    });
  }

  private happens(probability: number): boolean {
    return this.random() < probability;
  }

  private pick<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.random() * choices.length)]!;
  }
}
