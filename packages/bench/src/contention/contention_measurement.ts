import {
  ContentionJobOrder,
  InterferenceModel,
  PackingRunPlacementPolicy,
  WorkerViewBuilder,
  type OwnedJob,
  type RunPlacementPolicy,
  type WorkerView,
} from '@chicoryspring/jobs';
import {createSeededRandom} from '@chicoryspring/testing';
import {WaitingFleet} from './waiting_fleet.js';

const WAITING_TASKS = [100, 1_000, 10_000];
const SORTS = 20;
const MILLISECONDS_PER_SECOND = 1_000;
const SEED = 20_261_206;
/** Headroom lost to best-effort runs on all processors of a worker. */
const INTERFERENCE = 2;

interface ContentionFigures {
  readonly waitingTasks: number;
  readonly placed: number;
  /** Median milliseconds to sort the jobs once. */
  readonly sortMilliseconds: string;
  readonly decisionsPerSecond: number;
}

/** Times the order and the placement of jobs that compete for workers. */
export function measureContention(): readonly ContentionFigures[] {
  return WAITING_TASKS.map(measureRound);
}

function measureRound(waitingTasks: number): ContentionFigures {
  const fleet = new WaitingFleet(createSeededRandom(SEED));
  const {now} = WaitingFleet;
  const jobs = fleet.jobs(waitingTasks);
  const order = new ContentionJobOrder();
  const times: number[] = [];
  let sorted = jobs;
  for (let sort = 0; sort < SORTS; sort += 1) {
    for (const job of jobs) order.recordUnplaced(job, now);
    const started = performance.now();
    sorted = order.sort(jobs, now);
    times.push(performance.now() - started);
  }
  const model = new InterferenceModel();
  model.seed([{serving: 'web', filling: 'sort', harm: INTERFERENCE}]);
  const policy = new PackingRunPlacementPolicy(model);
  const started = performance.now();
  const placed = placeAll(policy, sorted, fleet.workers());
  const took = performance.now() - started;
  const decisions = (waitingTasks * MILLISECONDS_PER_SECOND) / took;
  return {
    waitingTasks,
    placed,
    sortMilliseconds: medianOf(times).toFixed(1),
    decisionsPerSecond: Math.round(decisions),
  };
}

/** Number of the jobs that get a worker, each by a decision of its own. */
function placeAll(
  policy: RunPlacementPolicy,
  jobs: readonly OwnedJob[],
  workers: readonly WorkerView[],
): number {
  const views = [...workers];
  let placed = 0;
  for (const {tasks, schedulingParameters} of jobs) {
    const task = tasks[0]!;
    const {service} = schedulingParameters;
    const {now} = WaitingFleet;
    const request = {task, service, domainsOut: [], now, isStarved: false};
    const view = policy.choose(request, views);
    if (!view) continue;
    placed += 1;
    const run = {...task.step, task: task.name, run: 1};
    const next = WorkerViewBuilder.withRun(view, run);
    views[views.indexOf(view)] = next;
  }
  return placed;
}

function medianOf(times: readonly number[]): number {
  const sorted = [...times].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)]!;
}
