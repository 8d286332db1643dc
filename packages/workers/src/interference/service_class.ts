/** Prefix that distinguishes classes of services from classes of tasks. */
const SERVICE_PREFIX = 'service/';

/** Class name for the interference with a service. */
export function serviceClassOf(service: string): string {
  return `${SERVICE_PREFIX}${service}`;
}
