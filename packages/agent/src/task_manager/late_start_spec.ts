import * as assert from 'uvu/assert';
import type {Task} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {FakeWorker} from './spec/fake_worker.js';
import {TaskManagerFixture} from './spec/task_manager_fixture.js';

/** A worker that reads a start only when it is told to. */
class DelayingWorker extends FakeWorker {
  private readonly delayed: (() => Promise<void>)[] = [];

  override async start(task: Task, epoch: number): Promise<void> {
    this.delayed.push(() => super.start(task, epoch));
    return await new Promise<void>(() => undefined);
  }

  /** Reads the starts that were sent; those that are rejected do nothing. */
  async readStarts(): Promise<void> {
    for (const start of this.delayed) await start().catch(() => undefined);
  }
}

describe('a start of an agent process that has ended', () => {
  describe('which the worker reads after a stop by the next one', test => {
    test('begins no task that was said to be stopped', async () => {
      const worker = new DelayingWorker();
      const first = await new TaskManagerFixture(worker).open();
      void first.start('a');
      await first.elapse(100);
      first.close();
      const next = await new TaskManagerFixture(worker).open();
      assert.is(await next.stop('a'), 'done');
      await worker.readStarts();
      assert.equal([...worker.running.keys()], []);
      next.close();
    });
  });
});
