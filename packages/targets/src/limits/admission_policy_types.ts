import type {Target} from '../target/target_types.js';

/** Decides whether a request that has to wait is admitted to the queue. */
export interface AdmissionPolicy {
  /** Whether the request can finish in time behind the waiting ones. */
  canFinish(
    targets: readonly Target[],
    waiting: number,
    remainingMilliseconds: number,
  ): boolean;
}
