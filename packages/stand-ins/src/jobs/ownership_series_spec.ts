import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import type {OwnerFixture} from './owner_fixture.js';

/** Time in which an order reaches a worker and is reported. */
const ROUND_MILLISECONDS = 1_200;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
/** Time after which an end that hears nothing closes the link. */
const LIVENESS_MILLISECONDS = 3_000;
/** Time for which each owner of a series owns the shards. */
const TENURE_MILLISECONDS = 3_000;
/** Time for which an agent is silent under one owner before the next comes. */
const LONG_SILENCE_MILLISECONDS = 8_000;
/** Time in which a task runs again once the trouble is over. */
const CALM_MILLISECONDS = 7_000;
/** Time after the end of its last run before which no run is due. */
const RESTART_MILLISECONDS = 6_000;
/** A worker's lease of 6 s on a clock that is 2% slow. */
const LEASE_MILLISECONDS = 6_120;
const TASK = 'j.0.0.0';

/** A lasting task beside one of two agents; all agents know the first owner. */
async function open() {
  const fleet = new JobFleetFixture();
  const {clock, history} = fleet;
  const owner = await fleet.startOwner('owner');
  const workers = ['a', 'b'].map(() => new FakeRunWorker(clock, history));
  const agents = workers.map((worker, at) =>
    fleet.startAgent('ab'[at]!, worker),
  );
  const links = agents.map(agent => fleet.link(agent, owner));
  await fleet.pass(ROUND_MILLISECONDS);
  const job = fleet.job('j', {isLasting: true});
  const deadline = clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
  await fleet.run(owner.owner.submit(job, deadline));
  await fleet.pass(ROUND_MILLISECONDS);
  const at = workers.findIndex(one => one.running.has(TASK));
  const [gone, other] = [at, 1 - at];
  /** Cuts the agent with the task off, one way or both, until its link closes. */
  const loseAgent = async (hears = false) => {
    links[gone]!.isCut = true;
    links[gone]!.peer.isCut = !hears;
    await fleet.pass(LIVENESS_MILLISECONDS);
    links[gone]!.close();
  };
  const returnTo = (one: OwnerFixture) => fleet.link(agents[gone]!, one);
  const replace = async (previous: OwnerFixture) => {
    previous.kill();
    const next = await fleet.startOwner('owner');
    fleet.link(agents[other]!, next);
    return next;
  };
  const runsElsewhere = () => workers[other]!.running.has(TASK);
  const lost = {loseAgent, returnTo};
  return {fleet, history, owner, ...lost, replace, runsElsewhere};
}

describe('a lasting task beside an agent that is gone for good', () => {
  describe('while the owner changes again and again', test => {
    test('runs elsewhere, although no owner stays for the whole wait', async () => {
      const fixture = await open();
      const {fleet, history, loseAgent, replace, runsElsewhere} = fixture;
      await loseAgent();
      let {owner} = fixture;
      const limit = fleet.clock.now() + 3 * CALM_MILLISECONDS;
      while (fleet.clock.now() < limit && !runsElsewhere()) {
        owner = await replace(owner);
        await fleet.pass(TENURE_MILLISECONDS);
      }
      assert.ok(runsElsewhere(), 'each owner has begun its wait anew');
      assert.equal(history.concurrentRuns, []);
    });
  });

  describe('whose owner changes once it has been silent for long', test => {
    test('runs elsewhere within 7 s, and 6 s after the end of its last run', async () => {
      const fixture = await open();
      const {fleet, history, owner, loseAgent, replace, runsElsewhere} =
        fixture;
      const silentAt = fleet.clock.now();
      await loseAgent();
      await fleet.pass(LONG_SILENCE_MILLISECONDS - LIVENESS_MILLISECONDS);
      await replace(owner);
      const lastEnd = silentAt + LEASE_MILLISECONDS;
      const calmEnd = fleet.clock.now() + CALM_MILLISECONDS;
      const limit = Math.max(calmEnd, lastEnd + RESTART_MILLISECONDS);
      await fleet.pass(limit - fleet.clock.now());
      assert.ok(runsElsewhere(), 'the next owner waits for its whole expiry');
      assert.equal(history.concurrentRuns, []);
    });
  });

  describe('after all entries were gone for longer than any run lives', test => {
    test('runs elsewhere within 10 s of the first gain', async () => {
      const {fleet, history, owner, loseAgent, replace, runsElsewhere} =
        await open();
      owner.kill();
      await loseAgent();
      await fleet.pass(4 * TENURE_MILLISECONDS);
      await replace(owner);
      await fleet.pass(10_000);
      assert.ok(runsElsewhere());
      assert.equal(history.concurrentRuns, []);
    });
  });

  describe('that hears its owner for longer than it is heard', test => {
    for (const silence of [4, 5, 6, 7, 8, 9, 10, 11]) {
      test(`never runs twice, the owner changes after ${silence} s`, async () => {
        const {fleet, history, owner, loseAgent, replace, runsElsewhere} =
          await open();
        await loseAgent(true);
        await fleet.pass(1_000 * silence - LIVENESS_MILLISECONDS);
        const next = await replace(owner);
        await fleet.pass(TENURE_MILLISECONDS);
        await replace(next);
        await fleet.pass(2 * CALM_MILLISECONDS);
        assert.ok(runsElsewhere());
        assert.equal(history.concurrentRuns, []);
      });
    }
  });
});

describe('an agent that comes back after it was listed as silent', () => {
  describe('and is then unreachable for the next owner', test => {
    for (const absence of [4, 6, 8, 10]) {
      test(`keeps its run until that has ended, after ${absence} s`, async () => {
        const fixture = await open();
        const {fleet, history, owner, loseAgent, returnTo, replace} = fixture;
        await loseAgent();
        await fleet.pass(1_000 * absence - LIVENESS_MILLISECONDS);
        const link = returnTo(owner);
        await fleet.pass(ROUND_MILLISECONDS);
        link.isCut = true;
        await replace(owner);
        await fleet.pass(2 * CALM_MILLISECONDS);
        assert.ok(fixture.runsElsewhere());
        assert.equal(history.concurrentRuns, []);
      });
    }
  });

  describe('while the store takes no write', test => {
    test('gets no permission that the list does not show', async () => {
      const fixture = await open();
      const {fleet, history, owner, loseAgent, returnTo, replace} = fixture;
      await loseAgent();
      await fleet.pass(2 * ROUND_MILLISECONDS);
      fleet.storeFault = 'refused';
      const link = returnTo(owner);
      await fleet.pass(LIVENESS_MILLISECONDS);
      link.isCut = true;
      fleet.storeFault = 'none';
      await replace(owner);
      await fleet.pass(2 * CALM_MILLISECONDS);
      assert.ok(fixture.runsElsewhere());
      assert.equal(history.concurrentRuns, []);
    });
  });
});
