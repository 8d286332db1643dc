import type {RunOrder} from '@chicoryspring/contracts';
import type {LeaseRenewalAnswer} from './lease_renewal_answer_types.js';
import type {LeaseRenewal} from './lease_renewal_types.js';
import type {RunStartAnswer} from './run_start_answer_types.js';

/**
 * Calls of an agent to one incarnation of its worker.
 *
 * Every call carries a fencing token; the worker rejects a call whose token is
 * lower than the highest it has seen. A call that throws `outcome-unknown` may
 * take effect later; one that throws `worker-unreachable` was not sent, since
 * the connection was refused. That says nothing of the worker's runs: the path to
 * it may refuse while they go on.
 */
export interface RunWorkerClient {
  /** Starts a run; the call is idempotent. */
  start(
    order: RunOrder,
    fencingToken: number,
    leaseMilliseconds: number,
  ): Promise<RunStartAnswer>;
  /**
   * Stops a run; the ending is listed later.
   *
   * A start of the run that arrives after the stop is rejected.
   */
  stop(task: string, run: number, fencingToken: number): Promise<void>;
  /** Renews the lease of all runs, and lists the runs and endings. */
  renewLease(renewal: LeaseRenewal): Promise<LeaseRenewalAnswer>;
  /** Sets the CPU share in percent at which a best-effort run may work. */
  pace(
    task: string,
    run: number,
    percent: number,
    fencingToken: number,
  ): Promise<void>;
  close(): Promise<void>;
}
