import * as assert from 'uvu/assert';
import * as fastCheck from 'fast-check';
import {describe, createSeededRandom} from '@chicoryspring/testing';
import {JobValues} from '../spec/job_values.js';
import {PlacementPlay} from '../spec/placement_play.js';

const SEED = 20261206;
const RUNS = 60;
const ROUNDS = 120;
/** Rounds of 250 ms: the longest wait of 8 s x 1.5 + 5 s, a run of 4 s, and more. */
const MAX_LARGE_ROUNDS = 100;
const SEEDS = fastCheck.integer({min: 1, max: 1_000_000});

function workers(count: number) {
  return Array.from({length: count}, (_, number) =>
    JobValues.view(`w${number}`),
  );
}

function check(predicate: (seed: number) => void): void {
  const property = fastCheck.property(SEEDS, predicate);
  fastCheck.assert(property, {seed: SEED, numRuns: RUNS});
}

/** A task of 1 to the given number of processors; its estimate is far off. */
function randomJob(id: string, random: () => number, most: number) {
  const count = 1 + Math.floor(random() * most);
  const runMilliseconds = 250 + Math.floor(random() * 4_000);
  const error = 0.1 + random() * 1.8;
  return {
    id,
    priority: Math.floor(random() * 3),
    runMilliseconds,
    step: {
      resources: {processors: count, memoryMebibytes: 10, accelerators: 0},
      estimateMilliseconds: Math.round(runMilliseconds * error),
      isFilling: random() < 0.2,
      isLasting: random() < 0.02,
    },
  };
}

describe('reservations over seeds', () => {
  describe('where all tasks find capacity at once', test => {
    test('change no choice', () => {
      check(seed => {
        const [choices, others] = [true, false].map(isReserving => {
          const random = createSeededRandom(seed);
          const play = new PlacementPlay(workers(8), isReserving);
          for (let round = 0; round < ROUNDS; round += 1) {
            const job = randomJob(`j${round}`, random, 4);
            play.submit({...job, step: {...job.step, isLasting: false}});
            play.playRound();
            assert.is(play.waiting, 0);
          }
          return play.choices;
        });
        assert.equal(choices, others);
      });
    });
  });

  describe('in an overloaded fleet', test => {
    test('are bypassed once at most, and take an eighth of the workers', () => {
      let bypasses = 0;
      check(seed => {
        const random = createSeededRandom(seed);
        const bypassed = new Set<string>();
        const play = new PlacementPlay(workers(16), true, {
          made() {},
          ended: ({job}, reason) =>
            void (reason === 'started' && bypassed.delete(job)),
          backfilled({job}, _, admission) {
            if (admission !== 'bypass') return;
            assert.not.ok(bypassed.has(job), `${job} bypassed again`);
            bypassed.add(job);
            bypasses += 1;
          },
        });
        for (let round = 0; round < ROUNDS; round += 1) {
          for (let count = 0; count < 8; count += 1)
            play.submit(randomJob(`j${round}x${count}`, random, 16));
          play.playRound();
          const agents = play.table.all.flatMap(({parts}) => parts);
          assert.ok(agents.length <= 2);
          assert.is(
            new Set(agents.map(({agent}) => agent)).size,
            agents.length,
          );
        }
      });
      assert.ok(bypasses > 0, 'the property was never put to the test');
    });

    test('let a large task start in time, whatever the estimates say', () => {
      check(seed => {
        const random = createSeededRandom(seed);
        const play = new PlacementPlay(workers(4), true);
        let submitted = 0;
        let rounds = 0;
        while (!play.hasStarted('large')) {
          for (; play.waiting < 20; submitted += 1) {
            const job = randomJob(`j${submitted}`, random, 6);
            const step = {...job.step, isLasting: false, isFilling: false};
            play.submit({...job, step, priority: 1});
          }
          play.playRound();
          rounds += 1;
          assert.ok(rounds <= MAX_LARGE_ROUNDS, 'the large task starves');
          if (rounds !== 20) continue;
          const large = randomJob('large', random, 1);
          const resources = {...large.step.resources, processors: 16};
          play.submit({
            ...large,
            step: {...large.step, resources},
            priority: 1,
          });
        }
      });
    });
  });
});
