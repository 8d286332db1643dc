import type {JobStep, Resources} from '@chicoryspring/contracts';
import {
  OwnedTask,
  RunFit,
  type RunInProgress,
  type RunsInProgress,
  type WorkerView,
} from '@chicoryspring/jobs';

const PROCESSORS = 64;
const MEMORY_MEBIBYTES = 256_000;
const MEMORY_PER_PROCESSOR_MEBIBYTES = 2_000;
const LARGEST_SMALL_TASK = 4;
const SMALLEST_LARGE_TASK = 16;
const LARGE_SHARE = 0.1;
const LONGEST_RUN_MILLISECONDS = 10_000;
const QUEUES = 20;

const STEP: JobStep = {
  count: 1,
  resources: {processors: 1, memoryMebibytes: 1, accelerators: 0},
  estimateMilliseconds: 1_000,
  after: [],
  isCheckpointable: false,
  isGang: false,
  isSameRack: false,
  isSpeculative: false,
  isLasting: false,
  isFilling: false,
};

interface FleetRun {
  readonly resources: Resources;
  readonly queue: string;
  readonly estimateMilliseconds: number;
  readonly startedAt: number;
}

/** Workers that are full of small runs but for a few processors each. */
export class AheadFleet implements RunsInProgress {
  readonly views: ReadonlyMap<string, WorkerView>;
  private readonly runs = new Map<string, readonly FleetRun[]>();

  constructor(
    workers: number,
    private readonly freeProcessors: number,
    private readonly random: () => number,
  ) {
    const names = Array.from({length: workers}, (_, number) => `w${number}`);
    this.views = new Map(names.map(agent => [agent, this.createView(agent)]));
  }

  /** Tasks of jobs of their own; one in ten needs a good part of a worker. */
  createTasks(count: number): readonly OwnedTask[] {
    return Array.from({length: count}, (_, number) => {
      const step = {
        ...STEP,
        resources: resourcesOf(this.drawProcessors()),
        estimateMilliseconds: this.drawMilliseconds(),
      };
      const name = `j${number}.0.0.0`;
      return new OwnedTask({name, occurrence: 0, stepNumber: 0, step}, 0);
    });
  }

  queueOf(number: number): string {
    return `queue-${number % QUEUES}`;
  }

  runsOn(agent: string, now: number): readonly RunInProgress[] {
    return this.runs.get(agent)!.map(run => ({
      stepClass: {...run, stepNumber: 0},
      commitment: RunFit.commitmentOf({...run, isFilling: false}),
      isLasting: false,
      activeMilliseconds: now - run.startedAt,
      firstPercent: 0,
      percent: 0,
      pace: 100,
    }));
  }

  hasForeignLastingRun(): boolean {
    return false;
  }

  private createView(agent: string): WorkerView {
    const runs: FleetRun[] = [];
    let processors = PROCESSORS - this.freeProcessors;
    while (processors > 0) {
      const drawn = Math.ceil(this.random() * LARGEST_SMALL_TASK);
      const taken = Math.min(processors, drawn);
      processors -= taken;
      runs.push({
        resources: resourcesOf(taken),
        queue: this.queueOf(runs.length),
        estimateMilliseconds: this.drawMilliseconds(),
        startedAt: -this.random() * LONGEST_RUN_MILLISECONDS,
      });
    }
    this.runs.set(agent, runs);
    const free = resourcesOf(this.freeProcessors);
    const capacity = {
      ...resourcesOf(PROCESSORS),
      memoryMebibytes: MEMORY_MEBIBYTES,
    };
    const worker = {
      worker: agent,
      life: '1',
      service: 'records',
      failureDomain: 'd',
      labels: [],
      capacity,
      isLeaving: false,
      isAnswering: true,
    };
    return {
      agent,
      worker,
      free,
      latencyCriticalRuns: [],
      bestEffortRuns: [],
      longRunningProcessors: 0,
      runCount: runs.length,
      runsByStep: new Map(),
    };
  }

  private drawProcessors(): number {
    if (this.random() >= LARGE_SHARE)
      return Math.ceil(this.random() * LARGEST_SMALL_TASK);
    const most = PROCESSORS - SMALLEST_LARGE_TASK;
    return SMALLEST_LARGE_TASK + Math.floor(this.random() * most);
  }

  private drawMilliseconds(): number {
    return 1 + Math.floor(this.random() * LONGEST_RUN_MILLISECONDS);
  }
}

function resourcesOf(processors: number): Resources {
  const memoryMebibytes = processors * MEMORY_PER_PROCESSOR_MEBIBYTES;
  return {processors, memoryMebibytes, accelerators: 0};
}
