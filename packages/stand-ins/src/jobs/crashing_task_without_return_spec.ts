import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {CrashingFleetFixture} from './crashing_fleet_fixture.js';

const AGENTS = ['a', 'b', 'c', 'd', 'e', 'f'] as const;
/** Time in which a task can crash every worker. */
const DAY_MILLISECONDS = 90_000;
/** Workers that a task may take along before it is held back or given up. */
const MAX_CRASHED_WORKERS = 3;

describe('crashing task', () => {
  describe('whose workers never come back', test => {
    for (const isSilent of [false, true]) {
      const how = isSilent ? 'fall silent' : 'refuse connections';
      test(`does not take the whole fleet along, they ${how}`, async () => {
        const fixture = await CrashingFleetFixture.open(AGENTS, ['j.0.0.0'], {
          isSilent,
        });
        await fixture.submit('j');
        await fixture.fleet.pass(DAY_MILLISECONDS);
        assert.ok(fixture.startCount('j.0.0.0') <= MAX_CRASHED_WORKERS);
      });
    }
  });
});
