import {writeFileSync} from 'node:fs';
import type {BenchCommand} from '../bench/bench_command_types.js';
import {measureCapacity} from './capacity_measurement.js';
import {formatCapacityReport} from './capacity_report.js';
import type {CapacitySample} from './capacity_sample_types.js';

async function runCapacity(output: string): Promise<void> {
  const samples: CapacitySample[] = [];
  await measureCapacity(taken => {
    samples.push(...taken);
    console.table(taken);
  });
  writeFileSync(output, formatCapacityReport(samples));
}

/** Measures each role at growing sizes and writes samples and slopes. */
export const capacityCommand: BenchCommand = {
  name: 'capacity',
  description: 'Measures each role at growing sizes',
  options: [
    {
      flag: '--output <file>',
      description: 'Report',
      default: 'docs/results/capacity.md',
    },
  ],
  run: async flags => runCapacity(String(flags['output'])),
};
