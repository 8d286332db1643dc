import * as assert from 'uvu/assert';
import {shardsHoldMethod} from '@chicoryspring/links';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';

const SMALL_FLEET = 3;
const LARGE_FLEET = 24;
/** The first agent answers at once, the last one after this time. */
const LAST_ANSWER_MILLISECONDS = 460;
/** Time in which agents join and are listed. */
const JOINING_MILLISECONDS = 2_000;
const TAKEOVER_MILLISECONDS = 2_000;
const JOIN_GAP_MILLISECONDS = 40;
const LIST_WRITE_MILLISECONDS = 60;

interface Renewal {
  readonly wantsReport: boolean;
}

interface RenewalVolume {
  /** Most calls that one agent got. */
  readonly calls: number;
  /** Most calls that asked one agent for its report. */
  readonly reports: number;
}

/** What agents get as the next owner takes their shards over. */
async function takeOver(agentCount: number): Promise<RenewalVolume> {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const next = await fleet.startOwner('two', {shards: []});
  const agents = Array.from({length: agentCount}, (_, index) => {
    const worker = new FakeRunWorker(fleet.clock, fleet.history);
    const agent = fleet.startAgent(`agent-${index}`, worker);
    fleet.link(agent, owner);
    const share = index / (agentCount - 1);
    fleet.link(agent, next, Math.round(share * LAST_ANSWER_MILLISECONDS));
    return agent;
  });
  await fleet.pass(JOINING_MILLISECONDS);
  const renewals = agents.map(recordRenewals);
  owner.kill();
  await fleet.run(next.acquire());
  await fleet.pass(TAKEOVER_MILLISECONDS);
  return largestVolume(renewals);
}

/** What agents get as they join an owner one after the other. */
async function joinInTurn(agentCount: number): Promise<RenewalVolume> {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  fleet.storeDelayMilliseconds = LIST_WRITE_MILLISECONDS;
  const renewals: (readonly Renewal[])[] = [];
  for (let index = 0; index < agentCount; index += 1) {
    const worker = new FakeRunWorker(fleet.clock, fleet.history);
    const agent = fleet.startAgent(`agent-${index}`, worker);
    renewals.push(recordRenewals(agent));
    fleet.link(agent, owner);
    await fleet.pass(JOIN_GAP_MILLISECONDS);
  }
  await fleet.pass(JOINING_MILLISECONDS - agentCount * JOIN_GAP_MILLISECONDS);
  return largestVolume(renewals);
}

/** The renewals that arrive at an agent from now on. */
function recordRenewals({
  registry,
}: ReturnType<JobFleetFixture['startAgent']>): readonly Renewal[] {
  const renewals: Renewal[] = [];
  const handle = registry.handle.bind(registry);
  registry.handle = (method, input, link) => {
    if (method === shardsHoldMethod.name) renewals.push(input as Renewal);
    return handle(method, input, link);
  };
  return renewals;
}

function largestVolume(
  renewals: readonly (readonly Renewal[])[],
): RenewalVolume {
  const reports = renewals.map(one => one.filter(call => call.wantsReport));
  return {
    calls: Math.max(...renewals.map(one => one.length)),
    reports: Math.max(...reports.map(one => one.length)),
  };
}

describe('renewals of run permissions', () => {
  describe('after a takeover of shards with many agents', test => {
    test('are as many for each agent as with few agents', async () => {
      const small = await takeOver(SMALL_FLEET);
      const large = await takeOver(LARGE_FLEET);
      assert.ok(large.calls <= small.calls, `${large.calls} calls`);
      assert.ok(large.reports <= small.reports, `${large.reports} reports`);
    });
  });

  describe('while agents join one after the other', test => {
    test('are as many for each agent as with few agents', async () => {
      const small = await joinInTurn(SMALL_FLEET);
      const large = await joinInTurn(LARGE_FLEET);
      assert.ok(large.calls <= small.calls, `${large.calls} calls`);
    });
  });
});
