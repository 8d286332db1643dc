import * as assert from 'uvu/assert';
import {
  interferenceLearnedMethod,
  shardsHoldMethod,
} from '@chicoryspring/links';
import {describe} from '@chicoryspring/testing';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import type {OwnerFixture} from './owner_fixture.js';

const AGENTS = 24;
const ROWS = Array.from({length: 200}, (_, index) => ({
  serving: 'web',
  filling: `batch-${index}`,
  harm: 2,
}));
/** Agents that fit into the link of a slow owner at a time. */
const AGENTS_AT_ONCE = 5;
const JOINING_MILLISECONDS = 2_000;
/** Time of the first renewals of a new owner, without the next ones. */
const FIRST_MILLISECONDS = 400;
const ALL_MILLISECONDS = 5_000;

type Agent = ReturnType<JobFleetFixture['startAgent']>;

/** Agents with an owner that is about to be replaced. */
async function createFixture() {
  const fleet = new JobFleetFixture();
  const owner = await fleet.startOwner('one');
  const next = await fleet.startOwner('two', {shards: []});
  const agents = Array.from({length: AGENTS}, (_, index) => {
    const worker = new FakeRunWorker(fleet.clock, fleet.history);
    const agent = fleet.startAgent(`agent-${index}`, worker);
    const link = fleet.link(agent, owner);
    fleet.link(agent, next);
    const {name} = interferenceLearnedMethod;
    void agent.registry.handle(name, {rows: ROWS}, link);
    return agent;
  });
  await fleet.pass(JOINING_MILLISECONDS);
  return {fleet, owner, next, answers: agents.map(recordAnswers)};
}

/** What each agent tells from now on, one entry for each answer. */
function recordAnswers({registry}: Agent): readonly unknown[] {
  const told: unknown[] = [];
  const handle = registry.handle.bind(registry);
  registry.handle = async (method, input, link) => {
    const result = await handle(method, input, link);
    const {harms} = (result ?? {}) as {readonly harms?: unknown};
    if (method === shardsHoldMethod.name && harms) told.push(harms);
    return result;
  };
  return told;
}

async function takeOver(
  {
    fleet,
    owner,
    next,
  }: {
    readonly fleet: JobFleetFixture;
    readonly owner: OwnerFixture;
    readonly next: OwnerFixture;
  },
  milliseconds: number,
): Promise<void> {
  owner.kill();
  await fleet.run(next.acquire());
  await fleet.pass(milliseconds);
}

describe('what agents tell a new owner of interference', () => {
  describe('in its first renewals', test => {
    test('comes from a few of many agents', async () => {
      const fixture = await createFixture();
      await takeOver(fixture, FIRST_MILLISECONDS);
      const told = fixture.answers.filter(one => one.length > 0).length;
      assert.ok(told > 0 && told <= AGENTS_AT_ONCE, `${told} agents`);
    });
  });

  describe('after some renewals', test => {
    test('has come once from each agent', async () => {
      const fixture = await createFixture();
      await takeOver(fixture, ALL_MILLISECONDS);
      const told = fixture.answers.map(one => one.length);
      assert.equal(told, new Array(AGENTS).fill(1));
    });
  });
});
