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
  const renewals = agents.map(({registry}) => {
    const inputs: {readonly wantsReport?: boolean | undefined}[] = [];
    const handle = registry.handle.bind(registry);
    registry.handle = (method, input, link) => {
      if (method === shardsHoldMethod.name)
        inputs.push(input as (typeof inputs)[number]);
      return handle(method, input, link);
    };
    return inputs;
  });
  owner.kill();
  await fleet.run(next.acquire());
  await fleet.pass(TAKEOVER_MILLISECONDS);
  return {
    calls: Math.max(...renewals.map(one => one.length)),
    reports: Math.max(
      ...renewals.map(one => one.filter(({wantsReport}) => wantsReport).length),
    ),
  };
}

describe('renewals of run permissions after a takeover', () => {
  describe('of shards with many agents', test => {
    test('are as many for each agent as with few agents', async () => {
      const small = await takeOver(SMALL_FLEET);
      const large = await takeOver(LARGE_FLEET);
      assert.ok(large.calls <= small.calls, `${large.calls} calls`);
      assert.ok(large.reports <= small.reports, `${large.reports} reports`);
    });
  });
});
