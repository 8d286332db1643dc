import fc from 'fast-check';
import * as assert from 'uvu/assert';
import type {JobStep} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {OwnedJob} from '../job/owned_job.js';
import {JobValues} from '../spec/job_values.js';
import {ContentionJobOrder} from './contention_job_order.js';

const NOW = 50_000;
const SEED = {seed: 17, numRuns: 200};

interface JobDraft {
  readonly id: string;
  readonly queue?: string;
  readonly priority?: number;
  readonly accepted?: number;
  readonly estimate?: number;
  readonly count?: number;
  readonly objective?: number;
  readonly step?: Partial<JobStep>;
}

function open({id, queue = 'q', ...draft}: JobDraft): OwnedJob {
  const {priority = 0, accepted = NOW, estimate = 1_000, count = 1} = draft;
  const step = {estimateMilliseconds: estimate, count, ...draft.step};
  const {job, terms, ...record} = JobValues.record(step);
  const owned = new OwnedJob(
    {
      ...record,
      key: id,
      job: {...job, id, queue},
      terms: {
        ...terms,
        priority,
        objectiveMilliseconds: draft.objective ?? 500,
      },
      acceptedInstant: accepted,
    },
    1,
  );
  owned.openDueOccurrences(NOW);
  return owned;
}

function begin(job: OwnedJob, index: number): void {
  job.tasks[index]!.setRun({
    run: 1,
    agent: 'a',
    agentLife: '1',
    life: '1',
    phase: 'running',
    percent: 0,
    pace: 100,
    orderedAt: NOW,
  });
}

/** Ids in the order of the round after one that left these jobs unplaced. */
function sortedAfter(
  unplaced: readonly OwnedJob[],
  jobs = unplaced,
  order = new ContentionJobOrder(),
): string {
  order.sort(unplaced, NOW);
  for (const job of unplaced) order.recordUnplaced(job, NOW);
  return idsOf(order.sort(jobs, NOW));
}

function idsOf(jobs: readonly OwnedJob[]): string {
  return jobs.map(({id}) => id).join(' ');
}

const anyDrafts = fc
  .array(
    fc.record({
      queue: fc.constantFrom('q', 'r'),
      priority: fc.integer({min: 0, max: 3}),
      accepted: fc.integer({min: NOW - 3_000, max: NOW}),
      estimate: fc.integer({min: 0, max: 100_000}),
    }),
    {maxLength: 20},
  )
  .map(drafts => drafts.map((draft, index) => ({...draft, id: `${index}`})));

describe('contention job order', () => {
  describe('without contention', test => {
    test('goes by priority, lateness and acceptance', () => {
      const property = fc.property(anyDrafts, drafts => {
        const jobs = drafts.map(open);
        const expected = [...jobs].sort(
          (left, right) =>
            left.record.terms.priority - right.record.terms.priority ||
            Number(left.isLate(NOW)) - Number(right.isLate(NOW)) ||
            left.record.acceptedInstant - right.record.acceptedInstant,
        );
        const order = new ContentionJobOrder();
        assert.is(idsOf(order.sort(jobs, NOW)), idsOf(expected));
        for (const job of jobs) order.recordStart(job, job.tasks, NOW);
        assert.is(idsOf(order.sort(jobs, NOW)), idsOf(expected));
      });
      fc.assert(property, SEED);
    });

    test('has what must be spread over the most workers first', () => {
      const spread = (count: number, mostPerWorker?: number) => ({
        count,
        step: {isLasting: true, mostPerWorker},
      });
      const jobs = [
        open({id: 'packed', accepted: NOW - 4, ...spread(18)}),
        open({id: 'some', accepted: NOW - 3, ...spread(18, 3)}),
        open({id: 'ends', accepted: NOW - 2, step: {mostPerWorker: 1}}),
        open({id: 'many', accepted: NOW - 1, ...spread(18, 1)}),
      ];
      const order = new ContentionJobOrder();
      assert.is(idsOf(order.sort(jobs, NOW)), 'many some packed ends');
    });

    test('in a priority is unchanged by contention in another', () => {
      const large = open({id: 'large', accepted: NOW - 1, estimate: 90_000});
      const small = open({id: 'small'});
      const lower = open({id: 'lower', priority: 1});
      assert.is(
        sortedAfter([lower], [lower, small, large]),
        'large small lower',
      );
    });
  });

  describe('in contention', test => {
    test('has the jobs that still meet their objective first', () => {
      const late = open({id: 'late', accepted: NOW - 9_000});
      const large = open({id: 'large', estimate: 90_000});
      assert.is(sortedAfter([late, large]), 'large late');
    });

    test('has the least work left first, then the least slack', () => {
      const jobs = [
        open({id: 'large', estimate: 90_000, accepted: NOW - 5}),
        open({id: 'slack', objective: 60_000, accepted: NOW - 4}),
        open({id: 'urgent', accepted: NOW - 3}),
      ];
      assert.is(sortedAfter(jobs), 'urgent slack large');
    });

    test('ends a step before it begins one', () => {
      const begins = open({id: 'begins', count: 2, accepted: NOW - 1});
      const ends = open({id: 'ends', count: 2});
      begin(ends, 0);
      assert.is(sortedAfter([begins, ends]), 'ends begins');
    });

    test('gives queues turns by the work they have received lately', () => {
      const order = new ContentionJobOrder();
      const jobs = ['a', 'b', 'c', 'd'].map((id, index) =>
        open({id, accepted: NOW - 9 + index, queue: index < 3 ? 'q' : 'r'}),
      );
      assert.is(sortedAfter(jobs, jobs, order), 'a d b c');
      order.recordStart(jobs[0]!, jobs[0]!.tasks, NOW);
      assert.is(sortedAfter(jobs, jobs, order), 'd a b c');
      // A single queue that competes is in no one's way.
      assert.is(sortedAfter(jobs.slice(0, 3), jobs), 'a b c d');
    });

    test('has a job that has waited for long first in its priority', () => {
      const order = new ContentionJobOrder();
      const aged = open({id: 'aged', estimate: 90_000, priority: 1});
      const accepted = NOW + 10_000;
      const small = open({id: 'small', priority: 1, accepted});
      const higher = open({id: 'higher', accepted});
      sortedAfter([aged], undefined, order);
      order.recordUnplaced(aged, NOW + 9_000);
      const later = order.sort([small, aged, higher], accepted);
      assert.is(idsOf(later), 'higher aged small');
    });

    test('lets no job wait for ever', () => {
      const anyWaiting = fc.array(fc.integer({min: 0, max: 500_000}), {
        minLength: 1,
        maxLength: 6,
      });
      const property = fc.property(anyWaiting, estimates => {
        const order = new ContentionJobOrder();
        let jobs: readonly OwnedJob[] = estimates.map((estimate, index) =>
          open({id: `${index}`, estimate}),
        );
        const waiting = new Set(jobs);
        const rounds = 10 + 2 * estimates.length;
        // One job is placed each second, and two small ones are accepted.
        for (let round = 0; round < rounds; round += 1) {
          const now = NOW + round * 1_000;
          const arrivals = ['x', 'y'].map(id =>
            open({id: `${id}${round}`, accepted: now, queue: id, estimate: 0}),
          );
          const [first, ...rest] = order.sort([...jobs, ...arrivals], now);
          if (first) waiting.delete(first);
          if (first) order.recordStart(first, first.tasks, now);
          for (const job of rest) order.recordUnplaced(job, now);
          jobs = rest;
        }
        return waiting.size === 0;
      });
      fc.assert(property, SEED);
    });
  });
});
