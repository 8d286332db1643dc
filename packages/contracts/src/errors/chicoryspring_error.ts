import type {ErrorAnswer} from './error_answer_types.js';
import type {ErrorKind} from './error_kind_types.js';
import {ERROR_TABLE} from './error_table.js';

/** An error of a known kind; the error table defines how it is answered. */
export class ChicoryspringError extends Error {
  override readonly name = 'ChicoryspringError';

  constructor(
    readonly kind: ErrorKind,
    message: string,
    /** Individual findings, for example each invalid field. */
    readonly details: readonly string[] = [],
  ) {
    super(message);
  }

  /** HTTP status, outcome and advice for this kind of error. */
  get answer(): ErrorAnswer {
    return ERROR_TABLE[this.kind];
  }
}
