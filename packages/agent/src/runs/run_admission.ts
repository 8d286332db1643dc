import {
  ChicoryspringError,
  ResourcesArithmetic,
  type Resources,
  type RunOrder,
  type WorkerDescription,
} from '@chicoryspring/contracts';
import {RunFit} from '@chicoryspring/jobs';
import type {ManagedRun} from './managed_run.js';
import {RunIsolation} from './run_isolation.js';

interface AdmittingWorker {
  readonly description: WorkerDescription;
  readonly free: Resources;
  readonly runs: readonly ManagedRun[];
}

/** Throws if a worker must not get the run of a start order now. */
export function requireAdmission(
  order: RunOrder,
  {description, free, runs}: AdmittingWorker,
  now: number,
): void {
  if (description.isLeaving) {
    throw new ChicoryspringError('draining', 'the worker is leaving');
  }
  if (!description.isAnswering) {
    const message = 'the worker is unresponsive';
    throw new ChicoryspringError('worker-unreachable', message);
  }
  if (!RunIsolation.admits(order, runs, now)) {
    const message = 'an isolated run is beginning';
    throw new ChicoryspringError('capacity-exceeded', message);
  }
  const needed = RunFit.commitmentOf(order.description);
  if (ResourcesArithmetic.fits(needed, free)) return;
  throw new ChicoryspringError('capacity-exceeded', 'no free capacity');
}
