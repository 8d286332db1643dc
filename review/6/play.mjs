/* global URL, process */
import {randomBytes} from 'node:crypto';
import {fileURLToPath} from 'node:url';
import {Fleet, ask, sleep} from '../lib-2/fleet.mjs';
import {findIdleJobs, shareInUse} from '../lib-2/idle_jobs.mjs';

// The machines of the owner and of one worker are removed for good, and new ones
// come at other addresses. `finish_s` after the end of the traffic a job must not
// have nothing running for 3 s while its turn has come and there is capacity.

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const SIDES = 8;
const JOB_MILLISECONDS = 500;
const BEFORE_MILLISECONDS = 12_000;
const AFTER_MILLISECONDS = 14_000;
const FINISH_MILLISECONDS = 14_000;
const ZONES = ['saint-brieuc', 'quimper', 'rennes', 'vannes'];
const OWNER = 'edge-saint-brieuc-1';
const PREFIX = '/lohu930/';
const NEED = {cpu: 1_000, mem_mb: 1_900};
const CAPACITY = {cpu: 16_000, mem_mb: 64_000, gpu: 0};
const JOB = {spec: 'check', phases: [{count: 4, ...NEED, est_ms: 1_400}]};

const fleet = new Fleet();
fleet.logged = ['shard not reconciled'];
const jobs = new Map();

async function startSide(name, zone) {
  return await fleet.startSide(name, zone, {
    capacity: CAPACITY,
    need: () => NEED,
    plan: () => ({ms: 1_400, how: 'done'}),
  });
}

async function openFleet() {
  await fleet.open([{name: 'checks', prefix: PREFIX, priority: 0}]);
  await fleet.startEntry(OWNER, ZONES[0]);
  const isOwner = () => fleet.owner === OWNER;
  await fleet.waitUntil('owner', isOwner, 15_000);
  for (const zone of ZONES.slice(1))
    await fleet.startEntry(`edge-${zone}-1`, zone);
  for (let number = 0; number < SIDES; number += 1)
    await startSide(`side-${number}`, ZONES[number % ZONES.length]);
  await fleet.waitUntilReady();
  await sleep(3_000);
  if (fleet.owner !== OWNER) throw new Error(`the owner is ${fleet.owner}`);
}

/** Hands a job in until it is accepted, at one entry after the other. */
async function handIn(isOver) {
  const id = randomBytes(8).toString('hex');
  for (let attempt = jobs.size; !isOver(); attempt += 1) {
    const entries = [...fleet.entries.keys()];
    const entry = entries[attempt % entries.length];
    const {status} = await ask(fleet.frontOf(entry), 'POST', PREFIX + id, JOB);
    fleet.note('job handed in', {id, entry, status});
    if (status === 200) return void jobs.set(id, fleet.seconds);
    if (status !== 0 && status < 500) return;
    await sleep(200);
  }
}

async function traffic(milliseconds) {
  const until = Date.now() + milliseconds;
  const isOver = () => Date.now() > until;
  const sent = [];
  while (!isOver()) {
    sent.push(handIn(isOver));
    await sleep(JOB_MILLISECONDS);
  }
  await Promise.all(sent);
}

async function replaceMachines() {
  const worker = fleet.workers.at(-1);
  fleet.note('two machines are removed', {owner: OWNER, side: worker.side});
  fleet.kill(OWNER);
  fleet.entries.delete(OWNER);
  fleet.kill(worker.side);
  await worker.crash();
  await sleep(1_000);
  await fleet.startEntry('edge-saint-brieuc-2', ZONES[0]);
  await sleep(1_000);
  await startSide(`side-${SIDES}`, worker.options.zone);
}

async function stateOf(id) {
  const port = fleet.frontOf('edge-quimper-1');
  const {status, answer} = await ask(port, 'GET', PREFIX + id);
  return status === 200 ? answer.state : String(status);
}

async function judge() {
  const {idle, states} = await findIdleJobs(fleet, [...jobs.keys()], stateOf);
  for (const id of idle)
    fleet.note('LOST: nothing runs', {id, state: states.get(id)});
  const complete = [...states.values()].filter(one => one === 'complete');
  fleet.note('result', {
    accepted: jobs.size,
    complete: complete.length,
    nothingRuns: idle.size,
    shareInUse: shareInUse(fleet),
  });
  if (idle.size > 0) return 1;
  return jobs.size > 0 && complete.length === jobs.size ? 0 : 2;
}

let code = 2;
try {
  await openFleet();
  await traffic(BEFORE_MILLISECONDS);
  const change = HAS_TROUBLE ? replaceMachines() : undefined;
  await Promise.all([traffic(AFTER_MILLISECONDS), change]);
  await sleep(FINISH_MILLISECONDS);
  code = await judge();
} catch (thrown) {
  fleet.note('the case could not run', {message: String(thrown)});
}
await fleet.close(fileURLToPath(new URL('record.txt', import.meta.url)));
process.exit(code);
