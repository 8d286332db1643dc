import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import type {CallFate} from './call_fate_types.js';
import {StartOrderScenario} from './start_order_scenario.js';
import type {StartFate} from './start_fate_types.js';

/** Times after the last attempt at which an earlier one is carried out. */
const LATE_MILLISECONDS = [300, 2_000, 4_500];
/** The same, for attempts that go on while a worker is silent. */
const LATE_IN_OUTAGE_MILLISECONDS = [7_000, 9_500, 10_500, 12_000];

interface EarlierAttempt {
  readonly name: string;
  readonly first: CallFate;
  readonly ending?: 'done' | 'failed';
  readonly lateMilliseconds?: number;
}

const EARLIER_ATTEMPTS: readonly EarlierAttempt[] = [
  ...LATE_MILLISECONDS.map(lateAttempt),
  {name: 'runs', first: 'unanswered'},
  {name: 'ran and is done', first: 'unanswered', ending: 'done'},
  {name: 'ran and failed', first: 'unanswered', ending: 'failed'},
  {name: 'never started', first: 'lost'},
];
const REJECTIONS = ['room', 'ticket', 'malformed', 'unhealthy'] as const;
/** Answers after which the order is sent again. */
const RETRIED = ['late', 'fenced'] as const;
const RENEWALS = [
  {name: 'the worker lists its runs', renewals: 'answered'},
  {name: 'renewals get no answer either', renewals: 'unanswered'},
  {name: 'renewals are lost too', renewals: 'lost'},
] as const;

function lateAttempt(lateMilliseconds: number): EarlierAttempt {
  const name = `is carried out ${lateMilliseconds} ms later`;
  return {name, first: 'late', lateMilliseconds};
}

/** Attempts of an order, and when the run that they began ends. */
interface Attempts {
  readonly following: readonly StartFate[];
  readonly ending?: 'done' | 'failed' | undefined;
  readonly attemptsBeforeEnding: number;
}

/** The attempts at whose end the worker answers that the run is too old. */
function attemptsUntilOld({first, ending}: EarlierAttempt): Attempts {
  if (ending) return {following: ['answered'], ending, attemptsBeforeEnding: 1};
  const isRunning = first === 'unanswered';
  // A run that is being stopped is rejected although it still runs.
  if (isRunning) return {following: [{answer: 'old'}], attemptsBeforeEnding: 1};
  // The attempt between them ran and is done.
  return {
    following: ['unanswered', 'answered'],
    ending: 'done',
    attemptsBeforeEnding: 2,
  };
}

function assertRanOnce({history, status}: StartOrderScenario): void {
  assert.equal(history.concurrentRuns, [], 'two runs at the same time');
  assert.equal(history.repeatedRuns, [], 'a run after an acknowledged end');
  assert.is(status, 'complete');
}

describe('start order', () => {
  for (const {name: circumstance, renewals} of RENEWALS) {
    describe(`whose first attempt gets no answer while ${circumstance}`, () => {
      describe('and that is answered started', test => {
        for (const earlier of EARLIER_ATTEMPTS) {
          test(`ends its task once if the first attempt ${earlier.name}`, async () => {
            const scenario = new StartOrderScenario();
            const following = ['answered'] as const;
            // The run ends while the answer is on its way.
            const attemptsBeforeEnding = 2;
            const attempts = {following, attemptsBeforeEnding};
            await scenario.play({...earlier, ...attempts, renewals});
            assertRanOnce(scenario);
          });
        }
      });

      describe('and that is rejected as old', test => {
        for (const earlier of EARLIER_ATTEMPTS) {
          test(`ends its task once if the first attempt ${earlier.name}`, async () => {
            const scenario = new StartOrderScenario();
            const attempts = attemptsUntilOld(earlier);
            await scenario.play({...earlier, ...attempts, renewals});
            assertRanOnce(scenario);
          });
        }
      });

      for (const answer of REJECTIONS) {
        describe(`and that is rejected as ${answer}`, test => {
          for (const earlier of EARLIER_ATTEMPTS) {
            test(`ends its task once if the first attempt ${earlier.name}`, async () => {
              const scenario = new StartOrderScenario();
              const attemptsBeforeEnding = 1;
              const attempts = {following: [{answer}], attemptsBeforeEnding};
              await scenario.play({...earlier, ...attempts, renewals});
              assertRanOnce(scenario);
            });
          }
        });
      }

      for (const answer of RETRIED) {
        describe(`and that is rejected as ${answer} before it is answered`, test => {
          for (const earlier of EARLIER_ATTEMPTS) {
            test(`ends its task once if the first attempt ${earlier.name}`, async () => {
              const scenario = new StartOrderScenario();
              const following = [{answer}, 'answered'] as const;
              const attempts = {following, attemptsBeforeEnding: 1};
              await scenario.play({...earlier, ...attempts, renewals});
              assertRanOnce(scenario);
            });
          }
        });
      }

      describe('and that is never answered', test => {
        const late = LATE_IN_OUTAGE_MILLISECONDS.map(lateAttempt);
        for (const earlier of [...EARLIER_ATTEMPTS, ...late]) {
          test(`ends its task once if the first attempt ${earlier.name}`, async () => {
            const scenario = new StartOrderScenario();
            const attempts = {following: [], attemptsBeforeEnding: 1};
            await scenario.playOutage({...earlier, ...attempts, renewals});
            assertRanOnce(scenario);
          });
        }
      });
    });
  }
});
