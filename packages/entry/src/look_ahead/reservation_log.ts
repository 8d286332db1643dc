import type {
  Reservation,
  ReservationObserver,
  RunPlacementRequest,
} from '@chicoryspring/jobs';
import type {Metrics, StateLog} from '@chicoryspring/observability';

/** Logs and counts changes of reservations and the runs that backfill them. */
export class ReservationLog implements ReservationObserver {
  constructor(
    private readonly log: StateLog,
    private readonly metrics: Metrics,
  ) {}

  made(reservation: Reservation): void {
    const {madeAt, from, deadline, parts, isStrict, renewals} = reservation;
    this.log.change('reservation made', {
      ...fieldsOf(reservation),
      ...parts[0]?.resources,
      expectedWaitMilliseconds: Math.round(from - madeAt),
      deadlineMilliseconds: Math.round(deadline - madeAt),
      isStrict,
      renewals,
    });
  }

  ended(reservation: Reservation, reason: string): void {
    this.log.change('reservation ended', {...fieldsOf(reservation), reason});
  }

  backfilled(
    reservation: Reservation,
    {task}: RunPlacementRequest,
    rule: string,
  ): void {
    this.metrics.increment('entry.backfilled_runs', {rule});
    if (rule !== 'bypass') return;
    const by = task.name;
    this.log.change('reservation bypassed', {...fieldsOf(reservation), by});
  }

  /** Number of reservations now. */
  count(reservations: number): void {
    this.metrics.gauge('entry.reservations', reservations);
  }
}

function fieldsOf({tasks, parts}: Reservation) {
  const agents = parts.map(({agent}) => agent).join();
  return {taskId: tasks[0]?.name, tasks: tasks.length, agents};
}
