import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {LateOrderScenario} from './late_order_scenario.js';
import type {StartFate} from './start_fate_types.js';

/** Time for which what goes wrong lasts once the order is carried out. */
const TROUBLE_MILLISECONDS = 1_200;
/** Time in which the task ends for certain, whatever went wrong. */
const COMPLETION_MILLISECONDS = 30_000;
/** Times from the order until its first attempt is carried out. */
const LATE_MILLISECONDS = [100, 700, 1_500, 3_000, 5_500];

interface Repetition {
  readonly what: string;
  /** What becomes of the later attempts until then. */
  readonly fate: StartFate;
}

const REPETITIONS: readonly Repetition[] = [
  {what: 'lost', fate: 'lost'},
  {what: 'carried out without an answer', fate: 'unanswered'},
  {what: 'answered', fate: 'answered'},
  {what: 'rejected for want of room', fate: {answer: 'room'}},
];

interface Trouble {
  readonly what: string;
  readonly begin: (scenario: LateOrderScenario) => void | Promise<void>;
}

/** What happens while the order has no answer. */
const TROUBLES: readonly Trouble[] = [
  {what: 'whose owner changes', begin: scenario => scenario.changeOwner()},
  {
    what: 'whose owner changes while stops and renewals are lost',
    begin: async scenario => {
      scenario.worker.stops.always = 'lost';
      scenario.worker.renewals.always = 'lost';
      await scenario.changeOwner();
    },
  },
  {
    what: 'whose owner changes while the path refuses connections',
    begin: async scenario => {
      scenario.worker.isRefusing = true;
      await scenario.changeOwner();
    },
  },
  {
    what: 'whose owner changes while its agent starts again',
    begin: async scenario => {
      await scenario.changeOwner();
      scenario.restartAgent();
    },
  },
  {
    what: 'whose path refuses connections',
    begin: scenario => void (scenario.worker.isRefusing = true),
  },
  {what: 'that is stopped', begin: scenario => scenario.stopRuns()},
  {
    what: 'that is stopped by calls without an answer',
    begin: scenario => {
      scenario.worker.stops.always = 'unanswered';
      scenario.stopRuns();
    },
  },
  {
    what: 'that is stopped by calls that are late',
    begin: scenario => {
      scenario.worker.stops.always = 'late';
      scenario.stopRuns();
    },
  },
];

/** Lets every call to the worker be answered. */
function recover({worker}: LateOrderScenario) {
  worker.isRefusing = false;
  worker.starts.always = 'answered';
  worker.stops.always = 'answered';
  worker.renewals.always = 'answered';
}

describe('an order that is carried out late', () => {
  for (const trouble of TROUBLES) {
    describe(trouble.what, test => {
      for (const {what, fate} of REPETITIONS) {
        for (const late of LATE_MILLISECONDS) {
          test(`begins no second run after ${late} ms, its repetitions ${what}`, async () => {
            const scenario = new LateOrderScenario();
            await scenario.open(fate);
            assert.ok(scenario.isSent);
            await trouble.begin(scenario);
            await scenario.pass(late);
            scenario.worker.applyLate();
            await scenario.pass(TROUBLE_MILLISECONDS);
            recover(scenario);
            await scenario.pass(COMPLETION_MILLISECONDS);
            const {history} = scenario.fleet;
            assert.equal(history.concurrentRuns, []);
            assert.equal(history.repeatedRuns, []);
            assert.is(scenario.status, 'complete');
          });
        }
      }
    });
  }
});
