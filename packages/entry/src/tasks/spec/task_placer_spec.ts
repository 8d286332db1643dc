import * as assert from 'uvu/assert';
import {ActiveConfiguration} from '@chicoryspring/configuration';
import type {TaskEnding, TaskLoss, TaskRecord} from '@chicoryspring/contracts';
import {ManualClock, describe} from '@chicoryspring/testing';
import {InMemoryWorkerIndex, LostTaskPolicy} from '@chicoryspring/workers';
import {TaskPlacer} from '../task_placer.js';

const CAPACITY = {processors: 16, memoryMebibytes: 60_000, accelerators: 0};
const COMPLETION_MILLISECONDS = 30_000;
/** Losses after which a task that is still placed again counts as endless. */
const MAX_LOSSES = 33;
const RECORD: TaskRecord = {
  kind: 'task',
  key: 'task-1',
  task: {
    id: 'task-1',
    caller: 'rangers',
    team: 'trust',
    kind: 'run',
    taskClass: 'reconcile',
    urgent: false,
    resources: {processors: 2, memoryMebibytes: 100, accelerators: 0},
    idempotencyKey: '',
    input: '',
  },
  state: 'running',
  epoch: 1,
  failedWorkers: [],
  evictions: 0,
};

class PlacerFixture {
  readonly clock = new ManualClock();
  readonly index = new InMemoryWorkerIndex();
  readonly placer: TaskPlacer;

  constructor(workers: number) {
    const configuration = new ActiveConfiguration();
    this.placer = new TaskPlacer(
      this.index,
      () => configuration,
      this.clock,
      () => 0,
    );
    for (let number = 1; number <= workers; number += 1) this.announce(number);
  }

  /** Places the task and lets it fail until it is no longer retried. */
  failEverywhere(): readonly TaskRecord[] {
    const records: TaskRecord[] = [];
    let record = RECORD;
    while (record.state === 'running') {
      const worker = this.placer.chooseWorker(record)!;
      const step = this.placer.handleEnding(
        {...record, worker},
        ending(worker),
      );
      const state = step.event === 'fail' ? 'failed' : 'running';
      record = {...record, ...step.change, worker, state};
      records.push(record);
    }
    return records;
  }

  /** Lets each worker lose the task, as it was started; returns its record. */
  loseEverywhere({isInProbation}: TaskLoss): TaskRecord {
    const policy = new LostTaskPolicy();
    let record = RECORD;
    for (let losses = 0; losses < MAX_LOSSES; losses += 1) {
      const worker = this.placer.chooseWorker(record)!;
      const isolation = policy.isolationOf(record.losses);
      const loss = {isInProbation, isolation};
      const lost = {...ending(worker), result: 'lapsed' as const, loss};
      const step = this.placer.handleEnding({...record, worker}, lost);
      record = {...record, ...step.change, worker};
      if (step.event === 'fail') return {...record, state: 'failed'};
    }
    return record;
  }

  private announce(number: number): void {
    const announcement = {
      worker: `worker-${number}`,
      failureDomain: 'kinangop',
      rack: 'rack-1',
      capacity: CAPACITY,
      slots: 8,
      running: [],
      draining: false,
    };
    this.index.recordAnnouncement(announcement);
    this.placer.recordAnnouncement(announcement);
  }
}

function ending(worker: string, taskId = 'task-1'): TaskEnding {
  return {taskId, epoch: 1, worker, result: 'failed'};
}

describe('task placer', () => {
  describe('a task that fails', test => {
    const cases = [
      {workers: 11, tries: 3},
      {workers: 2, tries: 2},
      {workers: 1, tries: 1},
    ];
    for (const {workers, tries} of cases) {
      test(`on ${workers} workers is quarantined after ${tries}`, () => {
        const records = new PlacerFixture(workers).failEverywhere();
        const last = records.at(-1)!;
        assert.is(records.length, tries);
        assert.is(last.reason, 'quarantined');
        assert.is(new Set(last.failedWorkers).size, tries);
      });
    }
  });

  describe('a task that crashes each worker', test => {
    test('is not started on one after the other without end', () => {
      const last = new PlacerFixture(11).loseEverywhere({isInProbation: true});
      assert.is(last.state, 'failed');
      assert.is(last.reason, 'quarantined');
      assert.equal(last.losses, {inProbation: 2, afterProbation: 0});
    });
  });

  describe('a task beside one that crashes each worker', test => {
    test('is started again each time that its probation was over', () => {
      const last = new PlacerFixture(11).loseEverywhere({isInProbation: false});
      assert.is(last.state, 'running');
    });
  });

  describe('a worker that fails', test => {
    const eject = (): PlacerFixture => {
      const fixture = new PlacerFixture(11);
      for (const taskId of ['a', 'b', 'c']) {
        const record = {...RECORD, worker: 'worker-1'};
        fixture.placer.handleEnding(record, ending('worker-1', taskId));
      }
      return fixture;
    };

    test('gets no more tasks', () => {
      const fixture = eject();
      const chosen = Array.from({length: 50}, () =>
        fixture.placer.chooseWorker(RECORD),
      );
      assert.not(chosen.includes('worker-1'));
    });

    test('costs its tasks no attempt', () => {
      const step = eject().placer.handleEnding(
        RECORD,
        ending('worker-1', 'late'),
      );
      assert.equal(step, {event: 'stopped', change: {}});
    });
  });

  describe('a task that is too large', test => {
    const resources = {...CAPACITY, processors: 17};
    const large = {...RECORD.task, resources};

    test('is refused once the fleet is known', async () => {
      const fixture = new PlacerFixture(2);
      fixture.placer.requireFits(large);
      await fixture.clock.advance(COMPLETION_MILLISECONDS);
      assert.throws(() => fixture.placer.requireFits(large), /large enough/);
    });

    test('is judged alike whether or not a worker is linked', async () => {
      const fixture = new PlacerFixture(1);
      await fixture.clock.advance(COMPLETION_MILLISECONDS);
      fixture.index.remove('worker-1');
      fixture.placer.requireFits(RECORD.task);
      assert.throws(() => fixture.placer.requireFits(large), /large enough/);
    });
  });
});
