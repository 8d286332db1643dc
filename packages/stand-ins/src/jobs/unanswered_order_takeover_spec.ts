import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import type {CallFate} from './call_fate_types.js';
import {FakeRunWorker} from './fake_run_worker.js';
import {JobFleetFixture} from './job_fleet_fixture.js';
import type {OwnerFixture} from './owner_fixture.js';

/** Time in which an order reaches a worker and its end comes back. */
const ROUND_MILLISECONDS = 1_200;
const RUN_MILLISECONDS = 300;
const SUBMIT_TIMEOUT_MILLISECONDS = 3_000;
/** Time for which start orders get no answer after the takeover. */
const TROUBLE_MILLISECONDS = 2_400;
/** Time for which lists get none after that: an order is repeated meanwhile. */
const MORE_TROUBLE_MILLISECONDS = 1_200;
/** Time in which the job completes once every call is answered. */
const COMPLETION_MILLISECONDS = 15_000;
const START_FATES: readonly CallFate[] = ['unanswered', 'lost', 'late'];
const RENEWAL_FATES: readonly CallFate[] = ['answered', 'unanswered', 'late'];
/** Instants of the takeover: during the first attempt, and between two. */
const TAKEOVER_INSTANTS_MILLISECONDS = [200, 800];
const TASK = 'j.0.0.0';

/** How the first owner loses its shards. */
const LOSSES: Readonly<Record<string, (owner: OwnerFixture) => void>> = {
  'that is killed': owner => owner.kill(),
  'that is cut off from the store': owner => {
    owner.lapseUnnoticed();
    owner.loseLease();
  },
};

interface LinkDelays {
  /** Times that calls of the first and of the next owner take to the agent. */
  readonly first: number;
  readonly next: number;
}

const LINKS: Readonly<Record<string, LinkDelays>> = {
  'the next owner': {first: 0, next: 600},
  'the first owner': {first: 1_000, next: 0},
};

/** An order without an answer, and two workers that both owners reach. */
async function openWithOrder(start: CallFate, delays: LinkDelays) {
  const fleet = new JobFleetFixture();
  const {clock, history} = fleet;
  const owner = await fleet.startOwner('one');
  const next = await fleet.startOwner('two', {shards: []});
  const worker = new FakeRunWorker(clock, history);
  const other = new FakeRunWorker(clock, history);
  const agent = fleet.startAgent('a', worker);
  const links = [owner, next].map(one => fleet.link(agent, one));
  await fleet.pass(ROUND_MILLISECONDS);
  worker.starts.always = start;
  links[0]!.peer.delayMilliseconds = delays.first;
  links[1]!.peer.delayMilliseconds = delays.next;
  const deadline = clock.now() + SUBMIT_TIMEOUT_MILLISECONDS;
  await fleet.run(owner.owner.submit(fleet.job('j', {}), deadline));
  const otherAgent = fleet.startAgent('b', other);
  for (const one of [owner, next]) fleet.link(otherAgent, one);
  return {fleet, owner, next, worker, workers: [worker, other]};
}

/** Lets time pass; a run that was there at the last step ends as done. */
async function passWithEndings(
  fleet: JobFleetFixture,
  workers: readonly FakeRunWorker[],
  milliseconds: number,
): Promise<void> {
  for (let time = 0; time < milliseconds; time += RUN_MILLISECONDS) {
    const working = workers.filter(one => one.running.has(TASK));
    await fleet.pass(RUN_MILLISECONDS);
    for (const one of working) one.end(TASK, 'done');
  }
}

for (const [loss, lose] of Object.entries(LOSSES)) {
  describe(`an order without an answer of an owner ${loss}`, () => {
    for (const [slowOwner, delays] of Object.entries(LINKS)) {
      describe(`over a slow link to ${slowOwner}`, test => {
        for (const start of START_FATES) {
          for (const renewal of RENEWAL_FATES) {
            for (const instant of TAKEOVER_INSTANTS_MILLISECONDS) {
              const cell = `starts ${start}, renewals ${renewal}, takeover at ${instant} ms`;
              test(`is carried out once: ${cell}`, async () => {
                const {fleet, owner, next, worker, workers} =
                  await openWithOrder(start, delays);
                worker.renewals.always = renewal;
                await fleet.pass(instant);
                lose(owner);
                await fleet.run(next.acquire());
                await passWithEndings(fleet, workers, TROUBLE_MILLISECONDS);
                worker.starts.always = 'answered';
                owner.noticeLoss();
                worker.applyLate();
                await passWithEndings(
                  fleet,
                  workers,
                  MORE_TROUBLE_MILLISECONDS,
                );
                worker.renewals.always = 'answered';
                await passWithEndings(fleet, workers, COMPLETION_MILLISECONDS);
                assert.equal(fleet.history.concurrentRuns, []);
                assert.equal(fleet.history.repeatedRuns, []);
                assert.is(next.owner.status('j'), 'complete');
              });
            }
          }
        }
      });
    }
  });
}
