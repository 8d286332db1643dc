import {
  CachedWorkerEnds,
  DurationModel,
  ExpectedRunEnds,
  InterferenceModel,
  PackingRunPlacementPolicy,
  ReservationManager,
  ReservationRule,
  ReservationTable,
  ReservingRunPlacementPolicy,
  WorkRateTable,
  WorkerViewBuilder,
  type OwnedTask,
  type WorkerView,
} from '@chicoryspring/jobs';
import {createSeededRandom} from '@chicoryspring/testing';
import {summarizeRuns} from '../placement/run_summary.js';
import {AheadFleet} from './ahead_fleet.js';

const WORKERS = 840;
const WAITING = [100, 1_000, 10_000];
const FREE_PROCESSORS = [0, 6];
const WARM_UP_ROUNDS = 3;
const ROUNDS = 7;
const ROUND_MILLISECONDS = 250;
const MILLISECONDS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const SEED = 20_261_206;
const NO_OBSERVER = {made() {}, ended() {}, backfilled() {}};

interface AheadFigures {
  readonly policy: string;
  readonly freeProcessors: number;
  readonly waiting: number;
  readonly roundMilliseconds: string;
  readonly decisionsPerSecond: string;
  readonly reservations: number;
}

/** Processor time of placement rounds with and without reservations. */
export function measureAhead(): readonly AheadFigures[] {
  return FREE_PROCESSORS.flatMap(free =>
    WAITING.flatMap(waiting =>
      [false, true].map(isReserving => measure(free, waiting, isReserving)),
    ),
  );
}

function measure(
  freeProcessors: number,
  waiting: number,
  isReserving: boolean,
): AheadFigures {
  const random = createSeededRandom(SEED);
  const fleet = new AheadFleet(WORKERS, freeProcessors, random);
  const tasks = fleet.createTasks(waiting);
  const table = new ReservationTable();
  const place = createRound(fleet, tasks, table, isReserving);
  for (let round = 0; round < WARM_UP_ROUNDS; round += 1) place(round);
  const times = Array.from({length: ROUNDS}, (_, round) => {
    const started = process.cpuUsage();
    place((round + 1) * ROUND_MILLISECONDS);
    const {user, system} = process.cpuUsage(started);
    return (user + system) / MICROSECONDS_PER_MILLISECOND;
  });
  const rates = times.map(one => (waiting * MILLISECONDS_PER_SECOND) / one);
  return {
    policy: isReserving ? 'reserving' : 'packing',
    freeProcessors,
    waiting,
    roundMilliseconds: summarizeRuns(times),
    decisionsPerSecond: summarizeRuns(rates),
    reservations: table.size,
  };
}

/** A round that begins with the same workers and tasks each time. */
function createRound(
  fleet: AheadFleet,
  tasks: readonly OwnedTask[],
  table: ReservationTable,
  isReserving: boolean,
): (now: number) => void {
  const model = new DurationModel();
  const rates = new WorkRateTable();
  const ends = new CachedWorkerEnds(new ExpectedRunEnds(fleet, model, rates));
  const rule = new ReservationRule({table, ends, model, rates});
  const packing = new PackingRunPlacementPolicy(new InterferenceModel());
  const manager = new ReservationManager({
    table,
    rule,
    ends,
    observer: NO_OBSERVER,
  });
  const policy = isReserving
    ? new ReservingRunPlacementPolicy(packing, rule)
    : packing;
  return now => {
    const views = new Map(fleet.views);
    if (isReserving)
      manager.beginRound(new Set(tasks.map((_, number) => `j${number}`)));
    tasks.forEach((task, number) => {
      const requestOf = () => ({
        task,
        service: 'records',
        domainsOut: [],
        queue: fleet.queueOf(number),
        priority: 0,
        now,
        isStarved: false,
      });
      const request = requestOf();
      const view = policy.choose(request, [...views.values()]);
      if (!view) {
        if (isReserving) manager.unplaced([task], views, requestOf);
        return;
      }
      views.set(view.agent, withRun(view, task));
      if (isReserving) manager.started([{request, view}], () => 100);
    });
  };
}

function withRun(view: WorkerView, {name, step}: OwnedTask): WorkerView {
  return WorkerViewBuilder.withRun(view, {...step, task: name, run: 1});
}
