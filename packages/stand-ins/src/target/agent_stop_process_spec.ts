import {setTimeout as sleep} from 'node:timers/promises';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {LocalFleetStarter} from '../local/local_fleet_starter.js';
import {FleetCaller} from '../local/spec/fleet_caller.js';

const GRACE_MILLISECONDS = 3_000;
const POLL_MILLISECONDS = 20;
const LONG_DEADLINE = {'chicoryspring-deadline-milliseconds': '30000'};

process.env['CHICORYSPRING_GRACE_MILLISECONDS'] = String(GRACE_MILLISECONDS);
const starter = new LocalFleetStarter({
  basePort: 15_450,
  entries: 1,
  workers: 1,
});
const fleet = await starter.start();
const caller = new FleetCaller(fleet);

describe('agent that is told to stop', (_, hooks) => {
  hooks.after(async () => {
    await caller.setTargetFault({fault: 'none'}, [0]);
    await starter.stop();
  });

  describe('while its target holds a request', test => {
    test('ends within its grace, and the caller has an answer', async () => {
      await caller.setTargetFault({fault: 'held'}, [0]);
      const held = caller.check('held', LONG_DEADLINE);
      while (Object.keys(await caller.executionsAt(0)).length === 0)
        await sleep(POLL_MILLISECONDS);
      const stopped = starter.group.stop(['agent-1']).then(() => 'ended');
      const killed = sleep(GRACE_MILLISECONDS, 'killed');
      assert.is(await Promise.race([stopped, killed]), 'ended');
      const {status, outcome} = await held;
      assert.equal({status, outcome}, {status: 503, outcome: 'unknown'});
    });
  });
});
