import type {BenchCommand} from '../bench/bench_command_types.js';
import {ResultWriter} from '../results/result_writer.js';
import {measureRouter} from './router_measurement.js';

const FIRST_SEED = 101;

/** Compares the routing policies on fake targets. */
export const routerCommand: BenchCommand = {
  name: 'router',
  description: 'Compares the routing policies on fake targets',
  options: [{flag: '--seeds <count>', description: 'Seeds', default: 5}],
  run: async flags => {
    const count = Number(flags['seeds']);
    const seeds = Array.from({length: count}, (_, n) => FIRST_SEED + n);
    console.log(await ResultWriter.write(measureRouter(seeds)));
  },
};
