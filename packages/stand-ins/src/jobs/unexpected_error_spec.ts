import * as assert from 'uvu/assert';
import type {JobStep} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;

/** An owner and an agent with a worker. */
async function open() {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const worker = new FakeRunWorker(fleet.clock, fleet.history);
  fleet.link(fleet.startAgent('a', worker), owner);
  await fleet.pass(ROUND_MILLISECONDS);
  const submit = async (id: string, step: Partial<JobStep> = {}) => {
    const deadline = fleet.clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
    await fleet.run(owner.owner.submit(fleet.job(id, step), deadline));
    await fleet.pass(ROUND_MILLISECONDS);
  };
  return {fleet, worker, submit};
}

describe('unexpected error', () => {
  describe('in placement', test => {
    test('ends neither the process nor placement', async () => {
      const {fleet, worker, submit} = await open();
      fleet.domainsOut = () => {
        throw new TypeError('unexpected');
      };
      await submit('j');
      assert.is(fleet.log.linesOf('job not placed').length, 1);
      fleet.domainsOut = () => [];
      await fleet.pass(ROUND_MILLISECONDS);
      assert.ok(worker.running.has('j.0.0.0'));
    });
  });

  describe('in the placement of one job', test => {
    test('keeps no other job waiting', async () => {
      const {fleet, worker, submit} = await open();
      // No schema lets such a step pass.
      await submit('bad', {resources: undefined as never});
      await submit('j');
      assert.is(fleet.log.linesOf('job not placed').length, 1);
      assert.ok(worker.running.has('j.0.0.0'));
    });
  });
});
