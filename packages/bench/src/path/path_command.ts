import type {BenchCommand} from '../bench/bench_command_types.js';
import {measurePath} from './path_measurement.js';

/** Times a check through the path against the target alone. */
export const pathCommand: BenchCommand = {
  name: 'path',
  description: 'Times a check through the path against the target alone',
  run: async () => console.table(await measurePath()),
};
