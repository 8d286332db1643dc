import * as assert from 'uvu/assert';
import {createSeededRandom} from '@chicoryspring/testing';
import {RivalOwners} from './rival_owners.js';
import type {RivalOwnersOptions} from './rival_owners_options_types.js';

const TROUBLE_MILLISECONDS = 50_000;

/** Runs rival owners with trouble; none may start a task twice. */
export class RivalOwnersSoak {
  /** The first seeds; `SOAK_SEEDS=1-300` asks for others by hand. */
  static seeds(count: number): readonly number[] {
    const [first = 1, last = first] = (
      process.env['SOAK_SEEDS'] ?? `1-${count}`
    )
      .split('-')
      .map(Number);
    return Array.from({length: last - first + 1}, (_, at) => first + at);
  }

  /**
   * Runs one seed. The recovery is the time without trouble at the end, in which
   * every job can end.
   */
  static async run(
    seed: number,
    trouble: RivalOwnersOptions,
    recoveryMilliseconds: number,
  ): Promise<void> {
    const rivals = new RivalOwners(createSeededRandom(seed), trouble);
    await rivals.start();
    await rivals.pass(TROUBLE_MILLISECONDS, true);
    rivals.recover();
    await rivals.pass(recoveryMilliseconds, false);
    check(rivals);
  }
}

function check(rivals: RivalOwners): void {
  const {history} = rivals.fleet;
  assert.equal(rivals.repeatedRuns, []);
  assert.equal(history.repeatedRuns, []);
  assert.equal(history.concurrentRuns, []);
  assert.equal(rivals.unfinished, []);
  assert.ok(rivals.accepted.length > 0);
}
