import {
  planStop,
  toChicoryspringError,
  waitUntilDeadline,
  type Clock,
  type StopSchedule,
  type StopTerms,
} from '@chicoryspring/contracts';
import {StopLog, type StateLog} from '@chicoryspring/observability';

/** Stops a role that runs; resolves once nothing is left to do. */
type StopRole = (stop: StopSchedule) => Promise<void>;

/** Stops a process within its grace period, also while it is starting. */
export class ProcessStopper {
  private begin: (instant: number) => void = () => undefined;
  private readonly told = new Promise<number>(resolve => {
    this.begin = resolve;
  });

  constructor(
    private readonly terms: StopTerms,
    private readonly clock: Clock,
    private readonly log: StateLog,
  ) {}

  /** Begins the stop; any later call changes nothing, nor its deadline. */
  tell(): void {
    this.begin(this.clock.now());
  }

  /**
   * Waits until the process is told to stop, then stops the role once it has
   * started. Resolves when that is done, at the latest at the deadline.
   */
  async run(started: Promise<StopRole>): Promise<void> {
    const stop = planStop(await this.told, this.terms);
    const log = new StopLog(this.log, this.clock, stop.deadline);
    log.step('told to stop');
    let isComplete = false;
    const stopped = started
      .then(stopRole => stopRole(stop))
      .then(() => (isComplete = true))
      .catch((thrown: unknown) => {
        const {kind, message} = toChicoryspringError(thrown);
        log.step('stop failed', {kind, message});
      });
    await waitUntilDeadline(this.clock, stop.deadline, stopped);
    log.step('process ends', {isComplete});
  }
}
