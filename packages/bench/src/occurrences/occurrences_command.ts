import type {BenchCommand} from '../bench/bench_command_types.js';
import {measureJobLoading} from './job_loading_measurement.js';
import {measureTakeover} from './takeover_measurement.js';

const OCCURRENCE_COUNTS = [100, 1_000, 10_000];
const OPEN_COUNT = 10;
const JOBS = 1_000;

/** Times the loading of scheduled jobs by the number of their occurrences. */
export const occurrencesCommand: BenchCommand = {
  name: 'occurrences',
  description: 'Times the loading of jobs with 100, 1,000, 10,000 occurrences',
  run: async () => {
    console.table(measureJobLoading(OCCURRENCE_COUNTS, OPEN_COUNT));
    const figures = [];
    for (const count of OCCURRENCE_COUNTS)
      figures.push(await measureTakeover(JOBS, count, OPEN_COUNT));
    console.table(figures);
  },
};
