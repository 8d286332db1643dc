import {HttpServer} from '@chicoryspring/http-server';
import type {EntryProcess} from '../process/entry_process.js';
import {RouteGuard} from './route_guard.js';
import {createRouteRegistry} from './route_registry.js';

/** The HTTP side of an entry: callers, operators and health. */
export function createEntryServer(entry: EntryProcess): HttpServer {
  const guard = new RouteGuard(entry.authenticator, () => undefined);
  const routes = createRouteRegistry(entry);
  return new HttpServer(routes.map(route => guard.guard(route)));
}
