import type {ErrorAnswer} from './error_answer_types.js';
import type {ErrorKind} from './error_kind_types.js';
import {ERROR_TABLE} from './error_table.js';

/** An error of a known kind. Its answer comes from the error table. */
export class ChicoryspringError extends Error {
  override readonly name = 'ChicoryspringError';

  constructor(
    readonly kind: ErrorKind,
    message: string,
    /** Single findings, for instance each invalid field. */
    readonly details: readonly string[] = [],
  ) {
    super(message);
  }

  /** How this error is answered. */
  get answer(): ErrorAnswer {
    return ERROR_TABLE[this.kind];
  }
}
