import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {JobValues} from '../spec/job_values.js';
import {PlacementPlay} from '../spec/placement_play.js';
import type {Reservation} from './reservation_types.js';

const VIEWS = ['w0', 'w1'].map(agent => JobValues.view(agent));

function job(
  id: string,
  processors: number,
  runMilliseconds: number,
  priority = 1,
  estimateMilliseconds = runMilliseconds,
) {
  const resources = {processors, memoryMebibytes: 10, accelerators: 0};
  const step = {resources, estimateMilliseconds};
  return {id, step, priority, runMilliseconds};
}

/** Two workers full of short and long runs, and a large task that waits. */
function playOf(
  processors = 16,
  estimate = 4_000,
  runMilliseconds = 4_000,
  change = {},
) {
  const events: string[] = [];
  const made: Reservation[] = [];
  const play = new PlacementPlay(VIEWS, true, {
    made: one => void made.push(one),
    ended: (_, reason) => void events.push(reason),
    backfilled: (_, {task}, rule) => void events.push(`${task.name} ${rule}`),
  });
  for (let count = 0; count < 8; count += 1)
    play.submit(job(`long${count}`, 3, runMilliseconds, 1, estimate));
  for (let count = 0; count < 8; count += 1)
    play.submit(job(`short${count}`, 1, 1_000, 1));
  play.playRound();
  play.submit({...job('large', processors, 1_000), ...change});
  play.playRound();
  return {play, events, made};
}

function playRounds(play: PlacementPlay, rounds: number): void {
  for (let round = 0; round < rounds; round += 1) play.playRound();
}

describe('a reservation', () => {
  describe('of a large task', test => {
    test('is made where it fits soonest, and ends with its start', () => {
      const {play, events, made} = playOf();
      assert.equal(
        made.map(({from, parts}) => [from, parts.length]),
        [[4_250, 1]],
      );
      playRounds(play, 16);
      assert.ok(play.hasStarted('large'));
      assert.equal(events, ['started']);
    });

    test('lets runs backfill that end before, and no others', () => {
      const {play, events, made} = playOf();
      playRounds(play, 4);
      const {agent} = made[0]!.parts[0]!;
      play.submit(job('brief', 4, 250, 1, 250));
      for (const id of ['a', 'b']) play.submit(job(id, 4, 8_000));
      play.playRound();
      assert.equal(events, ['brief.0.0.0 before']);
      const others = play.choices.filter(one => /^[ab]\./.test(one));
      assert.ok(others.every(one => !one.endsWith(agent)));
    });

    test('lets runs start beside it that it has room for', () => {
      const {play, events} = playOf(12);
      playRounds(play, 4);
      for (const id of ['a', 'b']) play.submit(job(id, 4, 8_000));
      play.playRound();
      assert.equal(
        events.map(one => one.slice(1)),
        ['.0.0.0 beside'],
      );
    });

    test('is bypassed by one more urgent task, and then by none', () => {
      const {play, events} = playOf();
      playRounds(play, 4);
      // One fills the gap of the other worker.
      for (const id of ['a', 'b']) play.submit(job(id, 4, 8_000, 0));
      play.playRound();
      play.submit(job('c', 1, 8_000, 0));
      playRounds(play, 20);
      assert.equal(events.filter(one => one.endsWith('bypass')).length, 1);
    });
  });

  describe('whose estimate is wrong', test => {
    test('is made again at its deadline, and is strict then', () => {
      const {play, events, made} = playOf(16, 400, 20_000);
      playRounds(play, 27);
      assert.equal(events, ['deadline']);
      const terms = made.map(one => [one.renewals, one.isStrict]);
      assert.equal(terms, [
        [0, false],
        [1, true],
      ]);
      // Would end in time, and is more urgent, but the reservation is strict.
      play.submit(job('brief', 4, 250, 0, 1));
      play.submit(job('other', 4, 20_000, 0));
      playRounds(play, 53);
      assert.is(events.at(-1), 'started');
      assert.not.ok(events.some(one => / (before|bypass)$/.test(one)));
    });
  });

  describe('on the worker that a long-running task needs', test => {
    test('holds it back neither before nor after it is strict', () => {
      const {play, events} = playOf(16, 400, 20_000);
      playRounds(play, 4);
      const submit = (id: string, processors: number) => {
        const one = job(id, processors, 60_000);
        play.submit({...one, step: {...one.step, isLasting: true}});
        play.playRound();
      };
      for (const id of ['a', 'b']) submit(id, 3);
      playRounds(play, 30);
      assert.ok(events.includes('deadline'));
      for (const id of ['c', 'd']) submit(id, 1);
      assert.ok(['a', 'b', 'c', 'd'].every(id => play.hasStarted(id)));
    });
  });

  describe('of a best-effort task', test => {
    test('ends once the task has the memory, and waits for processors', () => {
      const resources = {processors: 16, memoryMebibytes: 960, accelerators: 0};
      const step = {resources, isFilling: true};
      const {play, events} = playOf(16, 4_000, 4_000, {step});
      assert.is(play.table.size, 1);
      playRounds(play, 6);
      assert.equal(events, ['not short of capacity']);
      assert.not.ok(play.hasStarted('large'));
    });
  });

  describe('on a worker that leaves or is gone', test => {
    test('is made again elsewhere', () => {
      const {play, events, made} = playOf();
      const {agent} = made[0]!.parts[0]!;
      play.replaceWorkers(VIEWS.filter(view => view.agent !== agent));
      play.playRound();
      assert.equal(events, ['worker not usable']);
      assert.is.not(made[1]!.parts[0]!.agent, agent);
      const left = VIEWS.map(view => ({
        ...view,
        worker: {...view.worker, isLeaving: view.agent !== agent},
      }));
      play.replaceWorkers(left.filter(view => view.agent !== agent));
      play.playRound();
      assert.equal(events, ['worker not usable', 'leaving']);
    });
  });
});
