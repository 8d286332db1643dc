import {setTimeout as sleep} from 'node:timers/promises';
import {CapacityFleet} from './capacity_fleet.js';
import type {CapacitySample} from './capacity_sample_types.js';
import {runOpenLoop} from './open_loop.js';

const ENTRIES = 2;
const AGENT_COUNTS = [3, 11, 33, 100];
const WATCH_COUNTS = [0, 300, 1_000, 2_400];
const CHECK_RATES = [0, 200, 800];
const START_RATES = [0, 20, 60, 120];
const RATE_SETTLE_MILLISECONDS = 2_000;

type Report = (samples: readonly CapacitySample[]) => void;

/** Varies one size after the other and samples each role at each. */
export async function measureCapacity(report: Report): Promise<void> {
  const fleet = new CapacityFleet(ENTRIES);
  await fleet.start();
  try {
    for (const agents of AGENT_COUNTS) {
      await fleet.growTo(agents);
      report(await fleet.sample('agents', agents));
    }
    const checks = () => fleet.check();
    await varyRate(fleet, 'checks/s', CHECK_RATES, checks, report);
    const starts = () => fleet.submitRun();
    await varyRate(fleet, 'starts/s', START_RATES, starts, report);
    await varyWatches(fleet, report);
  } finally {
    await fleet.stop();
  }
}

async function varyRate(
  fleet: CapacityFleet,
  variable: string,
  rates: readonly number[],
  work: () => Promise<void>,
  report: Report,
): Promise<void> {
  for (const rate of rates) {
    const ending = new AbortController();
    const loop = runOpenLoop(rate, work, ending.signal);
    await sleep(RATE_SETTLE_MILLISECONDS);
    const samples = await fleet.sample(variable, rate);
    ending.abort();
    const failed = await loop;
    if (failed > 0) console.error(`${variable} at ${rate}: ${failed} failed`);
    report(samples);
  }
}

async function varyWatches(
  fleet: CapacityFleet,
  report: Report,
): Promise<void> {
  let running = 0;
  for (const watches of WATCH_COUNTS) {
    await fleet.submitWatches(watches - running);
    running = watches;
    report(await fleet.sample('running tasks', watches));
  }
}
