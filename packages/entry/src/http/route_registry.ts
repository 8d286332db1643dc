import type {EntryProcess} from '../process/entry_process.js';
import {createCallerRoutes} from './caller_routes.js';
import type {EntryRoute} from './entry_route_types.js';
import {createHealthRoutes} from './health_routes.js';
import {createOperatorRoutes} from './operator_routes.js';

/** Every route of an entry; a new route is added to one of these lists. */
export function createRouteRegistry(
  entry: EntryProcess,
): readonly EntryRoute[] {
  return [
    ...createHealthRoutes(entry),
    ...createCallerRoutes(entry),
    ...createOperatorRoutes(entry),
  ];
}
