import {createAuditRoutes} from './audit_routes.js';
import {createCallerRoutes} from './caller_routes.js';
import {createConfigurationRoutes} from './configuration_routes.js';
import type {EntryRoute} from './entry_route_types.js';
import {createFailureDomainRoutes} from './failure_domain_routes.js';
import {createHealthRoutes} from './health_routes.js';
import {createJobRoutes} from './job_routes.js';
import {createStatusRoutes} from './status_routes.js';

type RouteRegistryParts = Parameters<typeof createHealthRoutes>[0] &
  Parameters<typeof createCallerRoutes>[0] &
  Parameters<typeof createJobRoutes>[0] &
  Parameters<typeof createConfigurationRoutes>[0] &
  Parameters<typeof createFailureDomainRoutes>[0] &
  Parameters<typeof createAuditRoutes>[0] &
  Parameters<typeof createStatusRoutes>[0];

/** Every route of an entry; a new route is added to one of these lists. */
export function createRouteRegistry(
  entry: RouteRegistryParts,
): readonly EntryRoute[] {
  return [
    ...createHealthRoutes(entry),
    ...createCallerRoutes(entry),
    ...createJobRoutes(entry),
    ...createConfigurationRoutes(entry),
    ...createFailureDomainRoutes(entry),
    ...createAuditRoutes(entry),
    ...createStatusRoutes(entry),
  ];
}
