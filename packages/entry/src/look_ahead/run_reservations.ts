import type {Clock} from '@chicoryspring/contracts';
import {
  CachedWorkerEnds,
  ExpectedRunEnds,
  ReservationManager,
  ReservationRule,
  ReservationTable,
  ReservingRunPlacementPolicy,
  type OwnedJob,
  type OwnedTask,
  type RunPlacementPolicy,
  type RunPlacementRequest,
  type WorkerView,
} from '@chicoryspring/jobs';
import type {Metrics, StateLog} from '@chicoryspring/observability';
import {ReservationLog} from './reservation_log.js';
import type {FleetAgentDirectory} from '../jobs/fleet_agent_directory.js';
import {RunDurationObserver} from './run_duration_observer.js';
import type {RunIndex} from '../jobs/run_index.js';

interface RunReservationsParts {
  readonly agents: FleetAgentDirectory;
  readonly index: RunIndex;
  readonly jobOf: (job: string) => OwnedJob | undefined;
  readonly clock: Clock;
  readonly log: StateLog;
  readonly metrics: Metrics;
}

interface PlacedRequest {
  readonly request: RunPlacementRequest;
  readonly view: WorkerView;
}

/** The owner's reservations, kept in memory only. */
export class RunReservations {
  /** Keeps runs off workers that are reserved for others. */
  readonly policy: RunPlacementPolicy;
  readonly durations: RunDurationObserver;
  private readonly table = new ReservationTable();
  private readonly manager: ReservationManager;
  private readonly reservationLog: ReservationLog;

  constructor(parts: RunReservationsParts, policy: RunPlacementPolicy) {
    const {log, metrics} = parts;
    const {table} = this;
    this.durations = new RunDurationObserver(parts);
    const {model, rates} = this.durations;
    const runEnds = new ExpectedRunEnds(this.durations, model, rates);
    const ends = new CachedWorkerEnds(runEnds);
    const rule = new ReservationRule({table, ends, model, rates});
    const observer = new ReservationLog(log, metrics);
    this.reservationLog = observer;
    this.policy = new ReservingRunPlacementPolicy(policy, rule);
    this.manager = new ReservationManager({table, rule, ends, observer});
  }

  /** Begins a placement round with the jobs that have due tasks. */
  beginRound(due: readonly OwnedJob[]): void {
    this.manager.beginRound(new Set(due.map(({id}) => id)));
    this.reservationLog.count(this.table.size);
  }

  /** A due task, or gang, found no worker. */
  unplaced(
    group: readonly OwnedTask[],
    views: ReadonlyMap<string, WorkerView>,
    requestOf: (task: OwnedTask) => RunPlacementRequest,
  ): void {
    this.manager.unplaced(group, views, requestOf);
  }

  /** The runs of a group were ordered, each for the worker as it was before. */
  started(placed: readonly PlacedRequest[]): void {
    for (const {request} of placed) this.durations.ordered(request.task);
    this.manager.started(placed, (request, view) =>
      this.policy.pace(request, view),
    );
  }
}
