import {CallerAuthenticator} from '@chicoryspring/callers';
import type {CallerObject} from '@chicoryspring/configuration';
import type {LiveState} from '../live_state/live_state.js';

/**
 * Creates the authenticator of the configured callers and of one operator from
 * the settings, who can publish the first configuration.
 */
export function createAuthenticator(
  live: LiveState,
  operatorTokenHash: string,
): CallerAuthenticator {
  const operator: CallerObject = {
    kind: 'Caller',
    name: 'operator',
    spec: {
      team: '',
      role: 'operator',
      tokenHash: operatorTokenHash,
      services: [],
      requestsInProgress: 1,
    },
  };
  return new CallerAuthenticator(
    () => [operator, ...live.configuration.objects('Caller')],
    () => live.configuration.current.revision,
  );
}
