import {createSeededRandom} from '@chicoryspring/testing';

/** Random numbers that a seed decides. */
export class SeededRandom {
  /** Returns a number from 0 up to 1. */
  readonly next: () => number;

  constructor(seed: number) {
    this.next = createSeededRandom(seed);
  }

  /** A number of the exponential distribution with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }

  /** A number of the Erlang distribution with the given mean. */
  erlang(stages: number, mean: number): number {
    let sum = 0;
    for (let stage = 0; stage < stages; stage += 1) {
      sum += this.exponential(mean / stages);
    }
    return sum;
  }

  pick<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.next() * choices.length)]!;
  }
}
