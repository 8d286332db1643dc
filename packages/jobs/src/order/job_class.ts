/** Classes of an amount; estimates are too inaccurate for more. */
const AMOUNT_CLASSES = 16;
/** Upper bound of the first class, and factor between the bounds. */
const FIRST_BOUND_MILLISECONDS = 1_000;
const BOUND_FACTOR = 4;

const COMPETING_RANKS = AMOUNT_CLASSES * AMOUNT_CLASSES * 2;

/** What distinguishes jobs further while they compete. */
interface CompetingJobParts {
  readonly workLeft: number;
  readonly slackMilliseconds: number;
  readonly isBeginningStep: boolean;
}

/**
 * Classes of waiting jobs as numbers, the most urgent the lowest.
 *
 * The parts count in the order of the parameters; priority 0 is the highest.
 */
export class JobClass {
  static rankOf(
    priority: number,
    isAged: boolean,
    isLate: boolean,
    competing?: CompetingJobParts,
  ): number {
    const rank = (priority * 2 + Number(!isAged)) * 2 + Number(isLate);
    return rank * COMPETING_RANKS + (competing ? rankWithin(competing) : 0);
  }
}

function rankWithin(parts: CompetingJobParts): number {
  const work = amountClass(parts.workLeft);
  const slack = amountClass(parts.slackMilliseconds);
  const amounts = work * AMOUNT_CLASSES + slack;
  return amounts * 2 + Number(parts.isBeginningStep);
}

/** 0 below the first bound, then 1 more with each factor. */
function amountClass(amount: number): number {
  let number = 0;
  let bound = FIRST_BOUND_MILLISECONDS;
  while (amount >= bound && number < AMOUNT_CLASSES - 1) {
    number += 1;
    bound *= BOUND_FACTOR;
  }
  return number;
}
