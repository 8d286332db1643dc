/** Keeps classes of services apart from classes of tasks. */
const SERVICE_PREFIX = 'service/';

/** The class under which the interference with a service is learned. */
export function serviceClassOf(service: string): string {
  return `${SERVICE_PREFIX}${service}`;
}
