import type {JobRecord, JobStep} from '@chicoryspring/contracts';
import type {WorkerView} from '../fleet/worker_view_types.js';
import {OwnedTask} from '../job/owned_task.js';
import type {OwnedRun} from '../run/owned_run_types.js';

const STEP: JobStep = {
  count: 1,
  resources: {processors: 2, memoryMebibytes: 100, accelerators: 0},
  estimateMilliseconds: 1_000,
  after: [],
  isCheckpointable: false,
  isGang: false,
  isSameRack: false,
  isSpeculative: false,
  isLasting: false,
  isFilling: false,
};

const RUN: OwnedRun = {
  run: 1,
  agent: 'a',
  agentLife: '1',
  life: '1',
  phase: 'running',
  percent: 0,
  pace: 100,
  orderedAt: 10_000,
};

/** Fixtures of jobs and workers for specs. */
export class JobValues {
  static step(change: Partial<JobStep> = {}): JobStep {
    return {...STEP, ...change};
  }

  static record(...steps: readonly Partial<JobStep>[]): JobRecord {
    return {
      kind: 'job',
      key: 'j',
      job: {id: 'j', queue: 'q', spec: '', steps: steps.map(JobValues.step)},
      terms: {
        service: 's',
        priority: 0,
        attempts: 2,
        slackFactor: 2,
        objectiveMilliseconds: 500,
      },
      state: 'accepted',
      acceptedInstant: 10_000,
      progress: {done: [], failedRuns: {}, checkpoints: {}},
    };
  }

  static task(change: Partial<JobStep> = {}): OwnedTask {
    const step = JobValues.step(change);
    const position = {name: 'j.0.0.0', occurrence: 0, stepNumber: 0, step};
    return new OwnedTask(position, 0);
  }

  static run(change: Partial<OwnedRun> = {}): OwnedRun {
    return {...RUN, ...change};
  }

  static view(agent: string, change: Partial<WorkerView> = {}): WorkerView {
    return {
      agent,
      worker: {
        worker: agent,
        life: '1',
        service: 's',
        failureDomain: 'd1',
        labels: ['a', 'r1'],
        capacity: {processors: 16, memoryMebibytes: 1_000, accelerators: 0},
        isLeaving: false,
        isAnswering: true,
      },
      free: {processors: 16, memoryMebibytes: 1_000, accelerators: 0},
      latencyCriticalRuns: [],
      bestEffortRuns: [],
      longRunningProcessors: 0,
      runCount: 0,
      runsByStep: new Map(),
      ...change,
    };
  }
}
