import {sleep} from './fleet.mjs';

const IDLE_MILLISECONDS = 3_000;
const WATCH_MILLISECONDS = 6_000;
const POLL_MILLISECONDS = 250;
/** Share of the capacity in use from which on the rule excuses a job that waits. */
const FULL_SHARE = 0.5;
const ENDED = new Set(['complete', 'failed', 'canceled']);

function runsOf(fleet) {
  return fleet.workers.flatMap(one => (one.isUp ? [...one.runs.keys()] : []));
}

/** Share of the processors in use, as the workers see it. */
export function shareInUse(fleet) {
  const up = fleet.workers.filter(one => one.isUp);
  const total = up.reduce((sum, one) => sum + one.options.capacity.cpu, 0);
  const used = up.flatMap(one =>
    [...one.runs.keys()].map(task => one.options.need(task).cpu),
  );
  return used.reduce((sum, one) => sum + one, 0) / total;
}

/**
 * The accepted jobs that for 3 s on end had nothing running on any worker, though
 * not ended and all their tasks due from the start, while under half of the
 * capacity was in use. Also gives the last states.
 */
export async function findIdleJobs(fleet, ids, stateOf) {
  const idleSince = new Map();
  const idle = new Set();
  const states = new Map();
  const until = Date.now() + WATCH_MILLISECONDS;
  while (Date.now() < until) {
    for (const id of ids) states.set(id, await stateOf(id));
    const now = Date.now();
    const running = new Set(runsOf(fleet).map(task => task.split('.')[0]));
    const hasRoom = shareInUse(fleet) < FULL_SHARE;
    for (const [id, state] of states) {
      const waits = !ENDED.has(state) && !running.has(id) && hasRoom;
      if (!waits) idleSince.delete(id);
      else if (!idleSince.has(id)) idleSince.set(id, now);
      if (now - (idleSince.get(id) ?? now) >= IDLE_MILLISECONDS) idle.add(id);
    }
    await sleep(POLL_MILLISECONDS);
  }
  return {idle, states};
}
