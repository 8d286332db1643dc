import type {Target} from '../target/target_types.js';

/** Decides whether a request that has to wait is admitted at all. */
export interface AdmissionPolicy {
  /** Whether it can finish behind the waiting ones in the time that remains. */
  canFinish(
    targets: readonly Target[],
    waiting: number,
    remainingMilliseconds: number,
  ): boolean;
}
