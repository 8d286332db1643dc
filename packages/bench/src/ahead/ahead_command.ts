import type {BenchCommand} from '../bench/bench_command_types.js';
import {measureAhead} from './ahead_measurement.js';

/** Times placement rounds that reserve capacity for large tasks. */
export const aheadCommand: BenchCommand = {
  name: 'ahead',
  description: 'Times rounds of 100 to 10,000 waiting tasks on 840 workers',
  run: async () => console.table(measureAhead()),
};
