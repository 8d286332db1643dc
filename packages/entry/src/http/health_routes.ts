import {ChicoryspringError} from '@chicoryspring/contracts';
import {jsonAnswer} from '@chicoryspring/http-server';
import type {EntryProcess} from '../process/entry_process.js';
import type {EntryRoute} from './entry_route_types.js';

const OK = 200;

/** Whether the process lives, and whether it may be sent callers. */
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
