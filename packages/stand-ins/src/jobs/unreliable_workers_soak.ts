import * as assert from 'uvu/assert';
import {createSeededRandom} from '@chicoryspring/testing';
import type {UnreliableInstancesOptions} from './unreliable_instances_options_types.js';
import {UnreliableWorkers} from './unreliable_workers.js';

const TROUBLE_MILLISECONDS = 50_000;
/** Time without trouble, in which agents join again and every job can end. */
const RECOVERY_MILLISECONDS = 45_000;

/** Runs unreliable workers with trouble; none may run a task twice. */
export class UnreliableWorkersSoak {
  /** Runs one seed. */
  static async run(
    seed: number,
    options: UnreliableInstancesOptions = {},
  ): Promise<void> {
    const workers = new UnreliableWorkers(createSeededRandom(seed), options);
    await workers.start();
    await workers.pass(TROUBLE_MILLISECONDS, true);
    workers.recover();
    await workers.pass(RECOVERY_MILLISECONDS, false);
    const {history} = workers.fleet;
    assert.equal(history.concurrentRuns, []);
    assert.equal(history.repeatedRuns, []);
    assert.equal(workers.unfinished, []);
    assert.ok(workers.acceptedCount > 0);
  }
}
