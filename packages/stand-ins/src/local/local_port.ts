/** Lowest and number of ports that local fleets use: below the ephemeral ones. */
const LOWEST_PORT = 5_000;
const PORT_COUNT = 27_000;

const OFFSET = Number(process.env['CHICORYSPRING_LOCAL_PORT_OFFSET'] ?? 0);

/** The first port of a fleet, moved so that checkouts do not meet. */
export function localPort(basePort: number): number {
  return LOWEST_PORT + ((basePort + OFFSET - LOWEST_PORT) % PORT_COUNT);
}
