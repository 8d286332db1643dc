import {
  ChicoryspringError,
  ResourcesArithmetic,
  type Resources,
  type RunOrder,
  type WorkerDescription,
} from '@chicoryspring/contracts';
import {RunFit} from '@chicoryspring/jobs/placement/run_fit.js';
import {freeCapacity} from './free_capacity.js';
import type {ManagedRun} from './managed_run.js';
import type {ManagedRunTable} from './managed_run_table.js';
import {RunIsolation} from './run_isolation.js';
import type {RunPermissions} from './run_permissions.js';

interface AdmittingWorker {
  readonly description: WorkerDescription;
  readonly free: Resources;
}

type Rejection =
  'draining' | 'domain out' | 'unreachable' | 'given up' | 'room';

/** Decides whether a worker may get a run, now and once it is sent. */
export class RunAdmission {
  constructor(
    private readonly worker: AdmittingWorker,
    private readonly runs: ManagedRunTable,
    private readonly permissions: RunPermissions,
  ) {}

  /** Throws if the worker must not get the run of a start order now. */
  require(order: RunOrder, now: number): void {
    const {description, free} = this.worker;
    if (description.isLeaving) {
      throw new ChicoryspringError('draining', 'the worker is leaving');
    }
    if (this.isDomainOut) {
      const message = 'the failure domain is out of service';
      throw new ChicoryspringError('failure-domain-out', message);
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
   * It may be leaving or have shrunk since, its failure domain may have been taken
   * out of service, and the owner may have started the task elsewhere. An order that
   * was never sent need not wait for one out of reach.
   */
  rejectionOf(run: ManagedRun): Rejection | undefined {
    const {isLeaving, isAnswering} = this.worker.description;
    if (isLeaving) return 'draining';
    if (this.isDomainOut) return 'domain out';
    if (!isAnswering && !run.isCounted) return 'unreachable';
    if (this.permissions.isGivenUp(run.task, run.acceptedAt)) return 'given up';
    return this.hasRoomFor(run) ? undefined : 'room';
  }

  /**
   * What an admitted run waits for before it is sent, in a few words, if anything.
   *
   * An owner without its lease may not know which failure domains are out of service.
   */
  awaitedBy(run: ManagedRun, now: number): string | undefined {
    const other = RunIsolation.runToWaitFor(run, this.runs.all, now);
    if (other) return other.key;
    const isUnderLease = this.permissions.isRenewedUnderLease(run.task);
    return isUnderLease ? undefined : "the owner's lease in the store";
  }

  private get isDomainOut(): boolean {
    const {failureDomain} = this.worker.description;
    return this.permissions.outOfService.includes(failureDomain);
  }

  /** Whether the run fits; those that were sent come before those that wait. */
  private hasRoomFor(run: ManagedRun): boolean {
    if (!run.description) return true;
    const others = this.runs.all.filter(one => one !== run && one.isCounted);
    const free = freeCapacity(this.worker.description.capacity, others);
    return ResourcesArithmetic.fits(RunFit.commitmentOf(run.description), free);
  }
}
