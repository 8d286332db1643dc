import type {TaskState} from '@chicoryspring/contracts';

/** Why a task waits, or where and why it was placed. */
export interface TaskExplanation {
  readonly id: string;
  readonly state: TaskState;
  /** The explanation in one sentence. */
  readonly summary: string;
  /** Entry that owns the task and places it. */
  readonly owner: string;
  readonly worker?: string | undefined;
  readonly failureDomain?: string | undefined;
  readonly epoch: number;
  readonly evictions: number;
  readonly failedWorkers: readonly string[];
  /** Reason that the record gives for its last transition. */
  readonly reason?: string | undefined;
  /**
   * Number of known workers by the reason against placing the task there, with
   * some of them as examples.
   */
  readonly verdicts: readonly {
    readonly verdict: string;
    readonly workers: number;
    readonly examples: readonly string[];
  }[];
}
