import type {ChicoryspringError, ErrorKind} from '@chicoryspring/contracts';
import type {ExitName} from './exit_name_types.js';

const EXIT_NAMES_BY_ERROR_KIND: Readonly<Partial<Record<ErrorKind, ExitName>>> =
  {
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
export function exitNameForError(error: ChicoryspringError): ExitName {
  const exitName = EXIT_NAMES_BY_ERROR_KIND[error.kind];
  if (exitName) return exitName;
  return error.answer.outcome === 'unknown' ? 'unknown' : 'failed';
}
