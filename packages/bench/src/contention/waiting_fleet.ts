import type {JobStep} from '@chicoryspring/contracts';
import {
  OwnedJob,
  WorkerViewBuilder,
  type WorkerView,
} from '@chicoryspring/jobs';

const WORKERS = 840;
const PROCESSORS = 16;
const MEMORY_MEBIBYTES = 16_000;
const QUEUES = 4;
const PRIORITIES = 3;
const LONGEST_ESTIMATE_MILLISECONDS = 60_000;
const ACCEPTANCE_SPAN_MILLISECONDS = 9_000;
const TERMS = {
  service: 's',
  attempts: 3,
  slackFactor: 2,
  objectiveMilliseconds: 5_000,
};

/** Workers with latency-critical runs, and best-effort jobs that wait. */
export class WaitingFleet {
  static readonly now = 1_000_000;

  constructor(private readonly random: () => number) {}

  /** Workers that each serve a latency-critical run. */
  workers(): readonly WorkerView[] {
    return Array.from({length: WORKERS}, (_, number) => workerOf(number));
  }

  /** Jobs of one task each, which is due. */
  jobs(count: number): readonly OwnedJob[] {
    return Array.from({length: count}, (_, number) => this.jobOf(number));
  }

  private jobOf(number: number): OwnedJob {
    const key = `job-${number}`;
    const queue = `queue-${this.drawBelow(QUEUES)}`;
    const estimate = this.drawBelow(LONGEST_ESTIMATE_MILLISECONDS);
    const steps = [{...stepOf('sort'), estimateMilliseconds: estimate}];
    const record = {
      kind: 'job' as const,
      key,
      job: {id: key, queue, spec: '', steps},
      terms: {...TERMS, priority: this.drawBelow(PRIORITIES)},
      state: 'accepted' as const,
      acceptedInstant:
        WaitingFleet.now - this.drawBelow(ACCEPTANCE_SPAN_MILLISECONDS),
      progress: {done: [], failedRuns: {}, checkpoints: {}},
    };
    const job = new OwnedJob(record, 1);
    job.openDueOccurrences(WaitingFleet.now);
    return job;
  }

  private drawBelow(bound: number): number {
    return Math.floor(this.random() * bound);
  }
}

function workerOf(number: number): WorkerView {
  const capacity = {
    processors: PROCESSORS,
    memoryMebibytes: MEMORY_MEBIBYTES,
    accelerators: 0,
  };
  const name = `worker-${number}`;
  const view: WorkerView = {
    agent: name,
    worker: {
      worker: name,
      life: '1',
      service: TERMS.service,
      failureDomain: 'd',
      labels: [],
      capacity,
      isLeaving: false,
      isAnswering: true,
    },
    free: capacity,
    latencyCriticalRuns: [],
    bestEffortRuns: [],
    longRunningProcessors: 0,
    runCount: 0,
    runsByStep: new Map(),
  };
  const {resources} = stepOf('web');
  return WorkerViewBuilder.withRun(view, {
    task: `serving-${number}.0.0.0`,
    run: 1,
    resources,
    isFilling: false,
    isLasting: true,
    image: 'web',
    goalMilliseconds: 20,
  });
}

function stepOf(image: string): JobStep {
  return {
    count: 1,
    resources: {processors: 4, memoryMebibytes: 1_000, accelerators: 0},
    estimateMilliseconds: 1_000,
    after: [],
    isCheckpointable: true,
    isGang: false,
    isSameRack: false,
    isSpeculative: false,
    isLasting: false,
    isFilling: true,
    image,
  };
}
