import {HttpServer} from '@chicoryspring/http-server';
import type {EntryProcess} from '../process/entry_process.js';
import {createCallerRoutes} from './caller_routes.js';
import {createHealthRoutes} from './health_routes.js';
import {createOperatorRoutes} from './operator_routes.js';

/** The HTTP side of an entry: callers, operators and health. */
export function createEntryServer(entry: EntryProcess): HttpServer {
  return new HttpServer([
    ...createHealthRoutes(entry),
    ...createCallerRoutes(entry),
    ...createOperatorRoutes(entry),
  ]);
}
