import * as assert from 'uvu/assert';
import type {JobStep} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {JobValues} from '../spec/job_values.js';
import {PlacementPlay} from '../spec/placement_play.js';

/** Small tasks that wait at any time, more than the fleet can start. */
const BACKLOG = 40;
const SMALL_MILLISECONDS = 2_000;
/** Rounds of 250 ms: the expected wait x 1.5 + 5 s, and the longest run. */
const MAX_ROUNDS = 40;

function processors(count: number) {
  return {processors: count, memoryMebibytes: 10, accelerators: 0};
}

/** Rounds until the large job starts among a stream of small tasks. */
function roundsUntilStarted(
  workers: number,
  large: Partial<JobStep>,
  isReserving: boolean,
): number {
  const views = Array.from({length: workers}, (_, number) =>
    JobValues.view(`w${number}`),
  );
  const play = new PlacementPlay(views, isReserving);
  let submitted = 0;
  const refill = () => {
    for (; play.waiting < BACKLOG; submitted += 1)
      play.submit({
        id: `small${submitted}`,
        step: {
          resources: processors(4),
          estimateMilliseconds: SMALL_MILLISECONDS,
        },
        priority: 0,
        // They end one after the other, so that a worker is never empty.
        runMilliseconds: SMALL_MILLISECONDS + (submitted % 4) * 250,
      });
  };
  refill();
  play.playRound();
  play.submit({id: 'large', step: large, priority: 0, runMilliseconds: 1_000});
  for (let round = 1; round <= MAX_ROUNDS; round += 1) {
    refill();
    play.playRound();
    if (play.hasStarted('large')) return round;
  }
  return Infinity;
}

const LARGE = {
  'a task that needs a whole worker': {
    workers: 4,
    step: {resources: processors(16)},
  },
  'a gang that needs two whole workers': {
    workers: 16,
    step: {count: 2, isGang: true, resources: processors(16)},
  },
};

describe('a stream of small tasks that fills each gap', () => {
  for (const [what, {workers, step}] of Object.entries(LARGE)) {
    describe(`with ${what}`, test => {
      test('does not starve it', () => {
        assert.ok(roundsUntilStarted(workers, step, true) <= MAX_ROUNDS);
      });

      test('would starve it without reservations', () => {
        assert.is(roundsUntilStarted(workers, step, false), Infinity);
      });
    });
  }
});
