import type {Resources} from '@chicoryspring/contracts';
import type {StepClass} from '../duration/step_class_types.js';

/** A run on a worker, with what its end is estimated from. */
export interface RunInProgress {
  readonly stepClass: StepClass;
  /** What it reserves. */
  readonly commitment: Resources;
  readonly isLasting: boolean;
  /** Time for which it has worked, at full pace. */
  readonly activeMilliseconds: number;
  /** Progress in percent when it was first seen, and now. */
  readonly firstPercent: number;
  readonly percent: number;
  readonly pace: number;
}
