import type {BenchCommand} from '../bench/bench_command_types.js';
import {ResultWriter} from '../results/result_writer.js';
import {measureLimits} from './limits_measurement.js';

const FIRST_SEED = 201;

/** Measures a storm of one caller against the others. */
export const limitsCommand: BenchCommand = {
  name: 'limits',
  description: 'A caller that repeats at once, and the tail of the others',
  options: [{flag: '--seeds <count>', description: 'Seeds', default: 3}],
  run: async flags => {
    const count = Number(flags['seeds']);
    const seeds = Array.from({length: count}, (_, n) => FIRST_SEED + n);
    console.log(await ResultWriter.write(await measureLimits(seeds)));
  },
};
