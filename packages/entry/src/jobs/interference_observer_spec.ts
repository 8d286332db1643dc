import * as assert from 'uvu/assert';
import type {InterferenceRow} from '@chicoryspring/jobs';
import type {Link} from '@chicoryspring/links';
import {ManualClock, describe} from '@chicoryspring/testing';
import {FleetAgent} from './fleet_agent.js';
import {FleetViews} from './fleet_views.js';
import {InterferenceObserver} from './interference_observer.js';
import {RunIndex} from './run_index.js';

const KNOWN_ROWS = ['a', 'b', 'c'].map(filling => ({
  serving: 'web',
  filling,
  harm: 2,
}));
const SLOWED = {
  job: 'j',
  image: 'web',
  goalMilliseconds: 18,
  tailMilliseconds: 100,
};
const NEWCOMER = {image: 'd', processors: 2, share: 0.125, fullShare: 0.125};

/** An owner, and agents with a record of the rows that each of them is sent. */
function createFixture(agentCount: number) {
  const clock = new ManualClock();
  const views = new FleetViews(new RunIndex());
  const observer = new InterferenceObserver(views, clock);
  const agents = Array.from({length: agentCount}, (_, index) => {
    const sent: InterferenceRow[] = [];
    const notify = (_: unknown, input: {readonly rows: typeof sent}) =>
      void sent.push(...input.rows);
    const link = {isOpen: true, notify} as unknown as Link;
    const agent = new FleetAgent(`agent-${index}`);
    agent.link = link;
    return {agent, link, sent};
  });
  const publish = () => observer.publish();
  return {observer, agents, publish};
}

describe('what an owner has learned of interference', () => {
  describe('after a takeover', test => {
    test('is not sent back to the agents that have told it', () => {
      const {observer, agents, publish} = createFixture(3);
      for (const {link} of agents) {
        observer.introduce(link, KNOWN_ROWS);
        publish();
      }
      publish();
      assert.equal(
        agents.map(({sent}) => sent.length),
        [0, 0, 0],
      );
    });

    test('is sent to an agent that knows nothing of it', () => {
      const {observer, agents, publish} = createFixture(2);
      const [first, second] = agents;
      observer.introduce(first!.link, KNOWN_ROWS);
      observer.introduce(second!.link, []);
      publish();
      assert.equal(first!.sent, []);
      assert.equal(second!.sent, KNOWN_ROWS);
    });

    test('is sent to an agent that knew nothing and answered first', () => {
      const {observer, agents, publish} = createFixture(3);
      const [first, second, third] = agents;
      observer.introduce(first!.link, []);
      observer.introduce(second!.link, KNOWN_ROWS);
      observer.introduce(third!.link, KNOWN_ROWS);
      publish();
      assert.equal(first!.sent, KNOWN_ROWS);
      assert.equal([...second!.sent, ...third!.sent], []);
    });
  });

  describe('that has changed', test => {
    test('is sent without the rows that have not', () => {
      const {observer, agents, publish} = createFixture(1);
      const [{link, sent}] = agents as [(typeof agents)[0]];
      observer.introduce(link, KNOWN_ROWS);
      for (let round = 1; round <= 12; round += 1)
        observer.model.observe([SLOWED], [NEWCOMER], round * 500);
      publish();
      assert.equal(
        sent.map(({filling}) => filling),
        [NEWCOMER.image],
      );
    });
  });
});
