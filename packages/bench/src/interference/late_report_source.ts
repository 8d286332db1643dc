import type {ClassCount, InterferenceObservation} from '@chicoryspring/workers';
import type {HiddenPairTable} from './hidden_pair_table.js';

const WORKERS = 11;
const TASKS_PER_WORKER = 6;
const REPORT_MILLISECONDS = 2_000;
const LONGEST_LAG_MILLISECONDS = 15_000;
/** Share of a worker's tasks that change between two reports. */
const CHANGED_SHARE = 0.2;
const NOISE = 0.15;

interface LateObservation extends InterferenceObservation {
  readonly arrivesAt: number;
}

/** Measurements of a few workers, late, out of order and with noise. */
export class LateReportSource {
  private readonly workers: (readonly string[])[];
  private pending: readonly LateObservation[] = [];
  private now = 0;

  constructor(
    private table: HiddenPairTable,
    private readonly random: () => number,
  ) {
    this.workers = Array.from({length: WORKERS}, () =>
      Array.from({length: TASKS_PER_WORKER}, () => this.drawClass()),
    );
  }

  get instant(): number {
    return this.now;
  }

  /** The load shifts: pairs now disturb each other as another table says. */
  shiftTo(table: HiddenPairTable): void {
    this.table = table;
  }

  /** Moves on by one report of each worker; gives what has arrived. */
  next(): readonly InterferenceObservation[] {
    this.now += REPORT_MILLISECONDS;
    const measured = this.workers.flatMap(tasks => this.measure(tasks));
    const all = [...this.pending, ...measured];
    this.pending = all.filter(one => one.arrivesAt > this.now);
    this.change();
    return all
      .filter(one => one.arrivesAt <= this.now)
      .sort((left, right) => left.arrivesAt - right.arrivesAt);
  }

  private measure(tasks: readonly string[]): readonly LateObservation[] {
    return [...new Set(tasks)].map(affected => {
      const rest = [...tasks];
      rest.splice(rest.indexOf(affected), 1);
      const others = countClasses(rest);
      const harm = others.reduce(
        (sum, one) =>
          sum + one.tasks * this.table.harmOf(affected, one.taskClass),
        0,
      );
      const slowdown = Math.max(1, (1 + harm) * this.drawNoise());
      const lag = this.random() * LONGEST_LAG_MILLISECONDS;
      const measuredAt = this.now;
      return {
        affected,
        others,
        slowdown,
        measuredAt,
        arrivesAt: measuredAt + lag,
      };
    });
  }

  private change(): void {
    this.workers.forEach((tasks, position) => {
      this.workers[position] = tasks.map(one =>
        this.random() < CHANGED_SHARE ? this.drawClass() : one,
      );
    });
  }

  private drawClass(): string {
    const {classes} = this.table;
    return classes[Math.floor(this.random() * classes.length)]!;
  }

  private drawNoise(): number {
    const spread = this.random() + this.random() + this.random() - 1.5;
    return Math.exp(2 * NOISE * spread);
  }
}

function countClasses(tasks: readonly string[]): readonly ClassCount[] {
  return [...new Set(tasks)].map(taskClass => ({
    taskClass,
    tasks: tasks.filter(one => one === taskClass).length,
  }));
}
