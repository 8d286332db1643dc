import type {Outcome} from '../request/outcome_types.js';

/** How an error of one kind is answered. */
export interface ErrorAnswer {
  /** HTTP status towards callers and operators. */
  readonly status: number;
  /** What the caller may conclude about its request. */
  readonly outcome: Outcome;
  /** Whether the same request may be sent again as it is. */
  readonly mayRepeat: boolean;
  /** What an operator does when the kind is seen often. */
  readonly operatorAction: string;
}
