import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';

/** Random numbers that a seed decides. */
export class SeededRandom {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A number from 0 up to 1. */
  next(): number {
    return uniformFloat64(this.generator);
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
