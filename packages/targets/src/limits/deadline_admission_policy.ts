import type {Target} from '../target/target_types.js';
import type {AdmissionPolicy} from './admission_policy_types.js';

/** Rejects a request that cannot finish in time behind the waiting ones. */
export class DeadlineAdmissionPolicy implements AdmissionPolicy {
  canFinish(
    targets: readonly Target[],
    waiting: number,
    remainingMilliseconds: number,
  ): boolean {
    const measured = targets.filter(
      one => one.latencyMilliseconds !== undefined,
    );
    if (measured.length === 0) return true;
    const answersPerMillisecond = measured.reduce(
      (sum, one) => sum + one.concurrencyLimit / one.latencyMilliseconds!,
      0,
    );
    const minLatency = Math.min(
      ...measured.map(one => one.latencyMilliseconds!),
    );
    const wait = (waiting + 1) / answersPerMillisecond;
    return wait + minLatency <= remainingMilliseconds;
  }
}
