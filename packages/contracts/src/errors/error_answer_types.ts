import type {Outcome} from '../request/outcome_types.js';

/** HTTP status, outcome and advice for errors of one kind. */
export interface ErrorAnswer {
  /** HTTP status of the response to a caller or an operator. */
  readonly status: number;
  /** What the caller may assume about its request. */
  readonly outcome: Outcome;
  /** Whether the request may be retried unchanged. */
  readonly mayRepeat: boolean;
  /** What an operator should do if the kind occurs often. */
  readonly operatorAction: string;
}
