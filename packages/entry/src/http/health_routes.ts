import {ChicoryspringError} from '@chicoryspring/contracts';
import {jsonAnswer} from '@chicoryspring/http-server';
import type {EntryRoute} from './entry_route_types.js';

const OK = 200;

interface HealthRoutesParts {
  /** Whether the entry serves requests now. */
  readonly isReady: boolean;
}

/** Routes of liveness and readiness of the process. */
export function createHealthRoutes(
  entry: HealthRoutesParts,
): readonly EntryRoute[] {
  return [
    {
      access: 'public',
      method: 'GET',
      path: '/healthz',
      answer: async () => jsonAnswer(OK, {status: 'alive'}),
    },
    {
      access: 'public',
      method: 'GET',
      path: '/readyz',
      answer: async () => {
        if (entry.isReady) return jsonAnswer(OK, {status: 'ready'});
        throw new ChicoryspringError('draining', 'the entry is not ready');
      },
    },
  ];
}
