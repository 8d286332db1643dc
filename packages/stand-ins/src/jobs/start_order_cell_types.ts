import type {CallFate} from './call_fate_types.js';
import type {StartFate} from './start_fate_types.js';

/**
 * What becomes of the attempts of one start order.
 *
 * The first attempt gets no answer. Those after it have their own fates; the
 * last of them decides what the agent learns.
 */
export interface StartOrderCell {
  readonly first: CallFate;
  readonly following: readonly StartFate[];
  /** How the run ends that an attempt began; absent while it works. */
  readonly ending?: 'done' | 'failed' | undefined;
  /** Number of attempts after which it ends. */
  readonly attemptsBeforeEnding: number;
  /** What becomes of lease renewals until the last attempt. */
  readonly renewals: CallFate;
  /** Time from the last attempt until the late ones are carried out. */
  readonly lateMilliseconds?: number | undefined;
}
