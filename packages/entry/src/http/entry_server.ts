import type {CallerAuthenticator} from '@chicoryspring/callers';
import {HttpServer, type HttpCapacity} from '@chicoryspring/http-server';
import type {EntryObserver} from '../observation/entry_observer.js';
import {RouteGuard} from './route_guard.js';
import {RouteMeter} from './route_meter.js';
import {createRouteRegistry} from './route_registry.js';

type EntryServerParts = Parameters<typeof createRouteRegistry>[0] & {
  readonly authenticator: CallerAuthenticator;
  readonly observer: EntryObserver;
  readonly httpCapacity: HttpCapacity;
};

/** Creates the HTTP server of an entry: callers, operators and health. */
export function createEntryServer(entry: EntryServerParts): HttpServer {
  const {metrics} = entry.observer.telemetry;
  const meter = new RouteMeter(metrics, entry.clock);
  const guard = new RouteGuard(entry.authenticator, ({kind}) =>
    metrics.increment('entry.access_refusals', {kind}),
  );
  const routes = createRouteRegistry(entry);
  return new HttpServer(
    routes.map(route => meter.measure(guard.guard(route))),
    undefined,
    entry.clock,
    entry.httpCapacity,
  );
}
