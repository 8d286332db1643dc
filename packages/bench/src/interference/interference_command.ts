import type {BenchCommand} from '../bench/bench_command_types.js';
import {measureInterference} from './interference_measurement.js';

/** Measures the error of interference learners on late reports. */
export const interferenceCommand: BenchCommand = {
  name: 'interference',
  description: 'Error of learned interference against a hidden pair table',
  run: async () => console.table(measureInterference()),
};
