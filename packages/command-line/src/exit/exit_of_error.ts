import type {ChicoryspringError, ErrorKind} from '@chicoryspring/contracts';
import type {ExitName} from './exit_name_types.js';

const EXIT_OF_KIND: Readonly<Partial<Record<ErrorKind, ExitName>>> = {
  'settings-invalid': 'usage',
  'configuration-invalid': 'invalid',
  'configuration-unsafe': 'invalid',
  'revision-conflict': 'conflict',
  unauthenticated: 'access',
  forbidden: 'access',
  'peer-unreachable': 'unreachable',
  'unknown-object': 'absent',
};

/** Returns the exit name for a command that failed with the error. */
export function exitOfError(error: ChicoryspringError): ExitName {
  const named = EXIT_OF_KIND[error.kind];
  if (named) return named;
  return error.answer.outcome === 'unknown' ? 'unknown' : 'failed';
}
