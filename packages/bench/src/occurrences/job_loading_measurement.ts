import type {JobRecord} from '@chicoryspring/contracts';
import {OwnedJob} from '@chicoryspring/jobs';
import {summarizeRuns} from '../placement/run_summary.js';
import {scheduledJobRecord} from './scheduled_job_record.js';

const RUNS = 5;
const WARM_UP_LOADS = 20;
const EPOCH = 1;

interface JobLoadingFigures {
  readonly occurrences: number;
  readonly open: number;
  readonly record: string;
  readonly recordBytes: number;
  readonly tasks: number;
  readonly loadMilliseconds: string;
}

/** Times the loading of a job by the number of its occurrences. */
export function measureJobLoading(
  counts: readonly number[],
  openCount: number,
): readonly JobLoadingFigures[] {
  return counts.flatMap(count => {
    const earlier = scheduledJobRecord('j', count, openCount);
    const current = {...earlier, progress: load(earlier).progress};
    return [
      figuresOf('earlier release', count, openCount, earlier),
      figuresOf('this release', count, openCount, current),
    ];
  });
}

function figuresOf(
  release: string,
  occurrences: number,
  open: number,
  record: JobRecord,
): JobLoadingFigures {
  for (let run = 0; run < WARM_UP_LOADS; run += 1) load(record);
  const times = Array.from({length: RUNS}, () => timeLoad(record));
  return {
    occurrences,
    open,
    record: release,
    recordBytes: Buffer.byteLength(JSON.stringify(record)),
    tasks: load(record).tasks.length,
    loadMilliseconds: summarizeRuns(times),
  };
}

function timeLoad(record: JobRecord): number {
  const started = performance.now();
  load(record);
  return performance.now() - started;
}

function load(record: JobRecord): OwnedJob {
  const job = new OwnedJob(record, EPOCH);
  job.openDueOccurrences(Date.now());
  return job;
}
