import type {RunOrder} from '@chicoryspring/contracts';
import type {LeaseRenewalAnswer} from './lease_renewal_answer_types.js';
import type {LeaseRenewal} from './lease_renewal_types.js';
import type {RunStartAnswer} from './run_start_answer_types.js';

/**
 * One life of a worker, as its agent commands it.
 *
 * Every call carries a fence; the worker does nothing for one that is lower
 * than the highest it has seen. A call that throws `outcome-unknown` may take
 * effect later; one that throws `worker-unreachable` was not sent.
 */
export interface RunWorkerClient {
  /** Starts a run; repeating the call has no further effect. */
  start(
    order: RunOrder,
    fencingToken: number,
    leaseMilliseconds: number,
  ): Promise<RunStartAnswer>;
  /** Stops a run, or refuses it in advance; its end is listed later. */
  stop(task: string, run: number, fencingToken: number): Promise<void>;
  /** Extends the lease of everything that runs, and lists it. */
  renewLease(renewal: LeaseRenewal): Promise<LeaseRenewalAnswer>;
  /** Lets a run work at a share of its pace, 0 to 100. */
  pace(
    task: string,
    run: number,
    percent: number,
    fencingToken: number,
  ): Promise<void>;
  close(): Promise<void>;
}
