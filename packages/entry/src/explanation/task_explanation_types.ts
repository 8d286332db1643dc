import type {TaskState} from '@chicoryspring/contracts';

/** Why a task waits, or where and why it was placed. */
export interface TaskExplanation {
  readonly id: string;
  readonly state: TaskState;
  /** The explanation in one sentence. */
  readonly summary: string;
  /** Entry that owns the task and decides about it. */
  readonly owner: string;
  readonly worker?: string | undefined;
  readonly failureDomain?: string | undefined;
  readonly epoch: number;
  readonly evictions: number;
  readonly failedWorkers: readonly string[];
  /** What the record says of its last step. */
  readonly reason?: string | undefined;
  /** The known workers by what speaks against each, with some of them. */
  readonly verdicts: readonly {
    readonly verdict: string;
    readonly workers: number;
    readonly examples: readonly string[];
  }[];
}
