import type {JobStep} from '@chicoryspring/contracts';

/** Estimated milliseconds of the critical path of the counted steps. */
export function criticalPathOf(
  steps: readonly JobStep[],
  isCounted: (stepNumber: number) => boolean,
): number {
  const finishTimes: number[] = [];
  let last = 0;
  steps.forEach((step, number) => {
    let finish = 0;
    for (const one of step.after)
      finish = Math.max(finish, finishTimes[one] ?? 0);
    if (isCounted(number)) finish += step.estimateMilliseconds;
    finishTimes.push(finish);
    last = Math.max(last, finish);
  });
  return last;
}
