import {ChicoryspringError} from '@chicoryspring/contracts';
import {jsonAnswer} from '@chicoryspring/http-server';
import type {EntryProcess} from '../process/entry_process.js';
import type {EntryRoute} from './entry_route_types.js';

const OK = 200;

/** Routes of liveness and readiness of the process. */
export function createHealthRoutes(entry: EntryProcess): readonly EntryRoute[] {
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
