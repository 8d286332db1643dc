import type {
  IsolationLength,
  TaskLoss,
  TaskLosses,
} from '@chicoryspring/contracts';

/** Losses in a probation that convict a task; the last one in isolation. */
const MAX_LOSSES = 2;
/** Losses after their probation that make a task a suspect. */
const SUSPECT_LATE_LOSSES = 3;
const NO_LOSSES: TaskLosses = {inProbation: 0, afterProbation: 0};

interface LostTaskDecision {
  /** Losses of the task from now on. */
  readonly losses: TaskLosses;
  readonly decision: 'retry' | 'quarantine';
}

/**
 * Decides what becomes of a task that its worker has lost.
 *
 * A worker loses all of its tasks at once, and one of them may have crashed it.
 * The first loss in its probation makes a task a suspect, as do several later
 * ones: from then on it is started in isolation. A second loss in its probation
 * convicts it if it was isolated then.
 */
export class LostTaskPolicy {
  /** Isolation in which the task is to be started; undefined without one. */
  isolationOf(losses: TaskLosses = NO_LOSSES): IsolationLength | undefined {
    if (losses.afterProbation >= SUSPECT_LATE_LOSSES) return 'long';
    return losses.inProbation > 0 ? 'brief' : undefined;
  }

  decide(
    {inProbation, afterProbation}: TaskLosses = NO_LOSSES,
    {isInProbation, isolation}: TaskLoss,
  ): LostTaskDecision {
    if (isInProbation) {
      const losses = {inProbation: inProbation + 1, afterProbation};
      const isConvicted = isolation && losses.inProbation >= MAX_LOSSES;
      return {losses, decision: isConvicted ? 'quarantine' : 'retry'};
    }
    const losses = {
      // A worker that survives an isolated start clears the task of earlier ones.
      inProbation: isolation ? 0 : inProbation,
      afterProbation: isolation === 'long' ? 1 : afterProbation + 1,
    };
    return {losses, decision: 'retry'};
  }
}
