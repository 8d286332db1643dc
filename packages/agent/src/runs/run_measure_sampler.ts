import type {Clock, RunStatus} from '@chicoryspring/contracts';
import {ManagedRun} from './managed_run.js';

/** Time between two samples of the measures that reports carry. */
const SAMPLE_INTERVAL_MILLISECONDS = 500;

type Measures = Pick<RunStatus, 'checkpoint' | 'percent' | 'measure'>;

/**
 * Samples the measures of runs, which change all the time, so that a report of
 * an event says nothing new of the other runs.
 */
export class RunMeasureSampler {
  private samples: ReadonlyMap<string, Measures> = new Map();
  private nextSampleAt = 0;

  constructor(private readonly clock: Clock) {}

  /** Whether the next call takes a sample. */
  get isDue(): boolean {
    return this.clock.now() >= this.nextSampleAt;
  }

  /** The statuses with the measures of the last sample, which may be taken now. */
  sampled(statuses: readonly RunStatus[]): readonly RunStatus[] {
    if (!this.isDue) {
      return statuses.map(one => ({...one, ...this.samples.get(keyOf(one))}));
    }
    this.nextSampleAt = this.clock.now() + SAMPLE_INTERVAL_MILLISECONDS;
    this.samples = new Map(statuses.map(one => [keyOf(one), measuresOf(one)]));
    return statuses;
  }
}

function keyOf({task, run}: RunStatus): string {
  return ManagedRun.keyOf(task, run);
}

function measuresOf({checkpoint, percent, measure}: RunStatus): Measures {
  return {checkpoint, percent, measure};
}
