/** Keeps classes of services apart from classes of tasks. */
const PREFIX = 'service/';

/** The class under which the interference with a service is learned. */
export function serviceClassOf(service: string): string {
  return `${PREFIX}${service}`;
}
