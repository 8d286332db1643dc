import {ChicoryspringError} from '@chicoryspring/contracts';
import {jsonAnswer, type HttpRoute} from '@chicoryspring/http-server';
import type {EntryProcess} from '../process/entry_process.js';

const OK = 200;

/** Whether the process lives, and whether it may be sent callers. */
export function createHealthRoutes(entry: EntryProcess): readonly HttpRoute[] {
  return [
    {
      method: 'GET',
      path: '/healthz',
      answer: async () => jsonAnswer(OK, {status: 'alive'}),
    },
    {
      method: 'GET',
      path: '/readyz',
      answer: async () => {
        if (entry.isReady) return jsonAnswer(OK, {status: 'ready'});
        throw new ChicoryspringError('draining', 'the entry is not ready');
      },
    },
  ];
}
