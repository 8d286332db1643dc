import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {RunInterferenceStore} from './run_interference_store.js';

const QUIET = {image: 'web', goalMilliseconds: 18, tailMilliseconds: 8};
const HURT = {...QUIET, tailMilliseconds: 100};
const HARMFUL = {image: 'sort', processors: 2};
const HARMLESS = {image: 'copy', processors: 2};

function open() {
  const interference = new RunInterferenceStore();
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
  const harm = (filling: string) => interference.harm('web', filling, now);
  return {interference, observe, harm, rows: () => interference.newsRows(now)};
}

describe('run interference', () => {
  describe('learning', test => {
    test('tells harmful images from harmless ones', () => {
      const {observe, harm} = open();
      observe(HURT, [HARMFUL]);
      observe(QUIET, [HARMLESS]);
      assert.ok(harm('sort') > 0.4);
      assert.ok(harm('copy') < 0.1);
    });

    test('blames the image that is known when both are there', () => {
      const {observe, harm} = open();
      observe(QUIET, [HARMLESS], 30);
      observe(HURT, [HARMFUL, HARMLESS]);
      assert.ok(harm('sort') > 3 * harm('copy'));
    });

    test('forgets a harm slower than it learns it', () => {
      const {observe, harm} = open();
      observe(HURT, [HARMFUL], 6);
      const learned = harm('sort');
      observe(QUIET, [HARMFUL], 6);
      assert.ok(harm('sort') > learned / 2);
      observe(QUIET, [HARMFUL], 200);
      assert.ok(harm('sort') < learned / 2);
    });

    test('expects no long tail after a slow worker without filling runs', () => {
      const {interference, observe} = open();
      observe(HURT, [], 60);
      assert.ok(interference.expectedShare(QUIET, [], 0) < 0.7);
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
      const next = new RunInterferenceStore();
      next.seed(rows(), 0);
      assert.ok(next.harm('web', 'sort', 0) > 0.3);
    });
  });
});
