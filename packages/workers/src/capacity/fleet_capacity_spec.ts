import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FleetCapacity} from './fleet_capacity.js';

const LARGE = {processors: 64, memoryMebibytes: 1_000, accelerators: 0};
const WITH_ACCELERATOR = {
  processors: 8,
  memoryMebibytes: 8_000,
  accelerators: 1,
};
/** Instant after the time in which the fleet may be incomplete. */
const AFTER_DISCOVERY_MILLISECONDS = 60_000;

const CASES = [
  {demand: LARGE, fitsNone: false},
  {demand: {...LARGE, processors: 65}, fitsNone: true},
  {demand: {...LARGE, accelerators: 1}, fitsNone: true},
  {demand: {...WITH_ACCELERATOR, processors: 1}, fitsNone: false},
];

describe('fleet capacity', () => {
  describe('a demand', test => {
    for (const {demand, fitsNone} of CASES) {
      test(`${JSON.stringify(demand)} fits no worker: ${fitsNone}`, () => {
        const fleet = new FleetCapacity();
        fleet.recordAnnouncement(LARGE, 0);
        fleet.recordAnnouncement(WITH_ACCELERATOR, 1);
        assert.is(
          fleet.fitsNoWorker(demand, AFTER_DISCOVERY_MILLISECONDS),
          fitsNone,
        );
      });
    }

    test('is not rejected while workers may still announce', () => {
      const fleet = new FleetCapacity();
      const demand = {...LARGE, processors: 65};
      assert.not(fleet.fitsNoWorker(demand, AFTER_DISCOVERY_MILLISECONDS));
      fleet.recordAnnouncement(LARGE, AFTER_DISCOVERY_MILLISECONDS);
      assert.not(fleet.fitsNoWorker(demand, AFTER_DISCOVERY_MILLISECONDS + 1));
    });
  });
});
