import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {InterferenceModel} from './interference_model.js';

const QUIET = {
  job: 'j',
  image: 'web',
  goalMilliseconds: 18,
  tailMilliseconds: 8,
};
const HURT = {...QUIET, tailMilliseconds: 100};
const USE = {processors: 2, share: 0.125, fullShare: 0.125};
const HARMFUL = {image: 'sort', ...USE};
const HARMLESS = {image: 'copy', ...USE};
/** Harm that leaves a usual run no room beside half a worker's processors. */
const HEAVY = 3;

function open() {
  const interference = new InterferenceModel();
  let now = 0;
  const observe = (
    serving: typeof QUIET,
    fillings: readonly (typeof HARMFUL)[],
    times = 12,
  ) => {
    for (let time = 0; time < times; time += 1) {
      now += 500;
      interference.observe([serving], fillings, now);
    }
  };
  const harm = (filling: string) => interference.interferenceOf('web', filling);
  return {
    interference,
    observe,
    harm,
    rows: () => interference.rowsToPublish(),
  };
}

describe('run interference', () => {
  describe('learning', test => {
    test('tells harmful images from harmless ones', () => {
      const {observe, harm} = open();
      observe(HURT, [HARMFUL]);
      observe(QUIET, [HARMLESS]);
      assert.ok(harm('sort') > HEAVY);
      assert.ok(harm('copy') < HEAVY / 10);
    });

    test('blames the image that is known when both are there', () => {
      const {observe, harm} = open();
      observe(QUIET, [HARMLESS], 30);
      observe(HURT, [HARMFUL, HARMLESS]);
      assert.ok(harm('sort') > 3 * harm('copy'));
    });

    test('follows a harm that rises, falls and rises again', () => {
      const {observe, harm} = open();
      observe(HURT, [HARMFUL]);
      const learned = harm('sort');
      for (let time = 0; time < 30; time += 1) {
        observe(QUIET, [], 1);
        observe(QUIET, [HARMFUL], 1);
      }
      assert.ok(harm('sort') < learned / 2);
      observe(HURT, [HARMFUL], 30);
      assert.ok(harm('sort') > HEAVY);
    });

    test('expects no long tail after a slow worker without filling runs', () => {
      const {interference, observe} = open();
      const before = interference.expectedHeadroom(QUIET, [], 0);
      observe(HURT, [], 60);
      assert.ok(interference.expectedHeadroom(QUIET, [], 0) > 0.9 * before);
    });

    test('knows the load of a job by its runs on other workers', () => {
      const {interference, observe} = open();
      const before = interference.expectedHeadroom(QUIET, [], 0);
      observe({...QUIET, tailMilliseconds: 5}, []);
      assert.ok(interference.expectedHeadroom(QUIET, [], 6_000) > before);
      const other = {...QUIET, job: 'other'};
      assert.is(interference.expectedHeadroom(other, [], 6_000), before);
    });

    test('blames no image for what the load of the job explains', () => {
      const {observe, harm} = open();
      for (let time = 0; time < 20; time += 1) {
        const busy = {...QUIET, tailMilliseconds: 14};
        observe(busy, [], 1);
        observe(busy, [HARMLESS], 1);
      }
      assert.ok(harm('copy') < HEAVY / 3);
    });

    test('expects no long tail of a worker whose filling runs are stopped', () => {
      const {interference, observe} = open();
      const before = interference.expectedHeadroom(QUIET, [], 0);
      observe(HURT, [{...HARMFUL, share: 0}], 60);
      assert.ok(interference.expectedHeadroom(QUIET, [], 0) > 0.9 * before);
    });

    test('does not take a stopped run for a harmless one', () => {
      const {observe, harm} = open();
      observe(HURT, [HARMFUL]);
      const learned = harm('sort');
      observe(QUIET, [{...HARMFUL, share: 0}], 60);
      assert.is(harm('sort'), learned);
    });

    test('leaves less room beside filling runs that harm', () => {
      const {interference, observe} = open();
      observe(HURT, [HARMFUL]);
      const alone = interference.expectedHeadroom(QUIET, [], 0);
      const beside = interference.expectedHeadroom(QUIET, [HARMFUL], 0);
      assert.ok(beside < alone - HEAVY * HARMFUL.fullShare);
    });

    test('learns next to nothing of a tail that is far over already', () => {
      const {observe, harm} = open();
      observe({...HURT, tailMilliseconds: 900}, [HARMFUL], 40);
      const learned = harm('sort');
      observe({...HURT, tailMilliseconds: 1_900}, [HARMFUL], 4);
      assert.ok(Math.abs(harm('sort') - learned) < HEAVY / 10);
    });

    test('takes nothing from a run that was not measured', () => {
      const {observe, harm} = open();
      const before = harm('sort');
      observe({...QUIET, tailMilliseconds: 0}, [HARMFUL]);
      assert.is(harm('sort'), before);
    });
  });

  describe('telling', test => {
    test('has rows only after a change', () => {
      const {observe, rows} = open();
      assert.equal(rows(), []);
      observe(HURT, [HARMFUL]);
      assert.is(rows().length, 1);
      assert.equal(rows(), []);
    });

    test('hands what was learned on to a new owner', () => {
      const {observe, rows} = open();
      observe(HURT, [HARMFUL], 40);
      const next = new InterferenceModel();
      next.seed(rows());
      assert.ok(next.interferenceOf('web', 'sort') > HEAVY);
    });
  });
});
