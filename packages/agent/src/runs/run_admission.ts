import {
  ChicoryspringError,
  ResourcesArithmetic,
  type Resources,
  type RunOrder,
  type WorkerDescription,
} from '@chicoryspring/contracts';
import {RunFit} from '@chicoryspring/jobs';
import {freeCapacity} from './free_capacity.js';
import type {ManagedRun} from './managed_run.js';
import type {ManagedRunTable} from './managed_run_table.js';
import {RunIsolation} from './run_isolation.js';

interface AdmittingWorker {
  readonly description: WorkerDescription;
  readonly free: Resources;
}

/** Decides whether a worker may get a run, now and once it is sent. */
export class RunAdmission {
  constructor(
    private readonly worker: AdmittingWorker,
    private readonly runs: ManagedRunTable,
  ) {}

  /** Throws if the worker must not get the run of a start order now. */
  require(order: RunOrder, now: number): void {
    const {description, free} = this.worker;
    if (description.isLeaving) {
      throw new ChicoryspringError('draining', 'the worker is leaving');
    }
    if (!description.isAnswering) {
      const message = 'the worker is unresponsive';
      throw new ChicoryspringError('worker-unreachable', message);
    }
    if (!RunIsolation.admits(order, this.runs.all, now)) {
      const message = 'an isolated run is beginning';
      throw new ChicoryspringError('capacity-exceeded', message);
    }
    const needed = RunFit.commitmentOf(order.description);
    if (ResourcesArithmetic.fits(needed, free)) return;
    throw new ChicoryspringError('capacity-exceeded', 'no free capacity');
  }

  /**
   * Reason for which the worker must not get an admitted run any more, if any.
   *
   * The worker may have shrunk since. A run that was sent has room before those
   * that wait to be sent.
   */
  rejectionOf(run: ManagedRun): 'draining' | 'room' | undefined {
    const {isLeaving, capacity} = this.worker.description;
    if (isLeaving) return 'draining';
    if (!run.description) return undefined;
    const others = this.runs.all.filter(one => one !== run && one.isCounted);
    const needed = RunFit.commitmentOf(run.description);
    const free = freeCapacity(capacity, others);
    return ResourcesArithmetic.fits(needed, free) ? undefined : 'room';
  }
}
