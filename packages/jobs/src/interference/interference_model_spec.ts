import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {InterferenceModel} from './interference_model.js';

const ON_TARGET = {
  job: 'j',
  image: 'web',
  goalMilliseconds: 18,
  tailMilliseconds: 8,
};
const SLOWED = {...ON_TARGET, tailMilliseconds: 100};
const USE = {processors: 2, share: 0.125, fullShare: 0.125};
const INTERFERING = {image: 'sort', ...USE};
const HARMLESS = {image: 'copy', ...USE};
/** Leaves a run at mean load no headroom beside half a worker's processors. */
const STRONG_INTERFERENCE = 3;

function open() {
  const interference = new InterferenceModel();
  let now = 0;
  const observe = (
    run: typeof ON_TARGET,
    bestEffortRuns: readonly (typeof INTERFERING)[],
    times = 12,
  ) => {
    for (let time = 0; time < times; time += 1) {
      now += 500;
      interference.observe([run], bestEffortRuns, now);
    }
  };
  const interferenceOf = (image: string) =>
    interference.interferenceOf('web', image);
  return {
    interference,
    observe,
    interferenceOf,
    rows: () => interference.rowsToPublish(),
  };
}

describe('run interference', () => {
  describe('learning', test => {
    test('distinguishes interfering images from harmless ones', () => {
      const {observe, interferenceOf} = open();
      observe(SLOWED, [INTERFERING]);
      observe(ON_TARGET, [HARMLESS]);
      assert.ok(interferenceOf('sort') > STRONG_INTERFERENCE);
      assert.ok(interferenceOf('copy') < STRONG_INTERFERENCE / 10);
    });

    test('attributes a long tail to the image known to interfere', () => {
      const {observe, interferenceOf} = open();
      observe(ON_TARGET, [HARMLESS], 30);
      observe(SLOWED, [INTERFERING, HARMLESS]);
      assert.ok(interferenceOf('sort') > 3 * interferenceOf('copy'));
    });

    test('follows an interference that rises, falls and rises again', () => {
      const {observe, interferenceOf} = open();
      observe(SLOWED, [INTERFERING]);
      const learned = interferenceOf('sort');
      for (let time = 0; time < 30; time += 1) {
        observe(ON_TARGET, [], 1);
        observe(ON_TARGET, [INTERFERING], 1);
      }
      assert.ok(interferenceOf('sort') < learned / 2);
      observe(SLOWED, [INTERFERING], 30);
      assert.ok(interferenceOf('sort') > STRONG_INTERFERENCE);
    });

    test('ignores a slow worker without best-effort runs', () => {
      const {interference, observe} = open();
      const before = interference.expectedHeadroom(ON_TARGET, [], 0);
      observe(SLOWED, [], 60);
      assert.ok(interference.expectedHeadroom(ON_TARGET, [], 0) > 0.9 * before);
    });

    test('estimates the load of a job from its runs on other workers', () => {
      const {interference, observe} = open();
      const before = interference.expectedHeadroom(ON_TARGET, [], 0);
      observe({...ON_TARGET, tailMilliseconds: 5}, []);
      assert.ok(interference.expectedHeadroom(ON_TARGET, [], 6_000) > before);
      const other = {...ON_TARGET, job: 'other'};
      assert.is(interference.expectedHeadroom(other, [], 6_000), before);
    });

    test('attributes to no image what the load of the job explains', () => {
      const {observe, interferenceOf} = open();
      for (let time = 0; time < 20; time += 1) {
        const busy = {...ON_TARGET, tailMilliseconds: 14};
        observe(busy, [], 1);
        observe(busy, [HARMLESS], 1);
      }
      assert.ok(interferenceOf('copy') < STRONG_INTERFERENCE / 3);
    });

    test('ignores a slow worker whose best-effort runs are stopped', () => {
      const {interference, observe} = open();
      const before = interference.expectedHeadroom(ON_TARGET, [], 0);
      observe(SLOWED, [{...INTERFERING, share: 0}], 60);
      assert.ok(interference.expectedHeadroom(ON_TARGET, [], 0) > 0.9 * before);
    });

    test('does not take a stopped run for a harmless one', () => {
      const {observe, interferenceOf} = open();
      observe(SLOWED, [INTERFERING]);
      const learned = interferenceOf('sort');
      observe(ON_TARGET, [{...INTERFERING, share: 0}], 60);
      assert.is(interferenceOf('sort'), learned);
    });

    test('expects less headroom beside interfering best-effort runs', () => {
      const {interference, observe} = open();
      observe(SLOWED, [INTERFERING]);
      const alone = interference.expectedHeadroom(ON_TARGET, [], 0);
      const beside = interference.expectedHeadroom(ON_TARGET, [INTERFERING], 0);
      assert.ok(beside < alone - STRONG_INTERFERENCE * INTERFERING.fullShare);
    });

    test('learns almost nothing from a tail that is far over the goal', () => {
      const {observe, interferenceOf} = open();
      observe({...SLOWED, tailMilliseconds: 900}, [INTERFERING], 40);
      const learned = interferenceOf('sort');
      observe({...SLOWED, tailMilliseconds: 1_900}, [INTERFERING], 4);
      assert.ok(
        Math.abs(interferenceOf('sort') - learned) < STRONG_INTERFERENCE / 10,
      );
    });

    test('learns nothing from a run without a measurement', () => {
      const {observe, interferenceOf} = open();
      const before = interferenceOf('sort');
      observe({...ON_TARGET, tailMilliseconds: 0}, [INTERFERING]);
      assert.is(interferenceOf('sort'), before);
    });
  });

  describe('publication', test => {
    test('has rows only after a change', () => {
      const {observe, rows} = open();
      assert.equal(rows(), []);
      observe(SLOWED, [INTERFERING]);
      assert.is(rows().length, 1);
      assert.equal(rows(), []);
    });

    test('passes what was learned on to a new owner', () => {
      const {observe, rows} = open();
      observe(SLOWED, [INTERFERING], 40);
      const next = new InterferenceModel();
      next.seed(rows());
      assert.ok(next.interferenceOf('web', 'sort') > STRONG_INTERFERENCE);
    });
  });
});
