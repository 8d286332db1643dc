import type {BenchCommand} from '../bench/bench_command_types.js';
import {measureContention} from './contention_measurement.js';

/** Times the order and the placement of jobs that compete for workers. */
export const contentionCommand: BenchCommand = {
  name: 'contention',
  description: 'Times decisions for 100 to 10,000 waiting tasks, 840 workers',
  run: async () => console.table(measureContention()),
};
