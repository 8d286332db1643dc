import type {RunOrder} from '@chicoryspring/contracts';
import type {HoldAnswer} from './hold_answer_types.js';
import type {HoldQuestion} from './hold_question_types.js';
import type {RunStartAnswer} from './run_start_answer_types.js';

/**
 * One life of a worker, as its agent commands it.
 *
 * Every call carries a fence; the worker does nothing for one that is lower
 * than the highest it has seen. A call that throws `outcome-unknown` may take
 * effect later; one that throws `worker-unreachable` was not sent.
 */
export interface RunWorker {
  /** Starts a run; repeating the call has no further effect. */
  start(
    order: RunOrder,
    fence: number,
    leaseMilliseconds: number,
  ): Promise<RunStartAnswer>;
  /** Stops a run, or refuses it in advance; its end is listed later. */
  stop(task: string, run: number, fence: number): Promise<void>;
  /** Extends the lease of everything that runs, and lists it. */
  hold(question: HoldQuestion): Promise<HoldAnswer>;
  /** Lets a run work at a share of its pace, 0 to 100. */
  pace(
    task: string,
    run: number,
    percent: number,
    fence: number,
  ): Promise<void>;
  close(): Promise<void>;
}
