import type {LinkTraffic} from './link_traffic_types.js';

/** Adds the traffic of several links. */
export function sumTraffic(links: readonly LinkTraffic[]): LinkTraffic {
  return links.reduce(
    (sum, one) => ({
      sentBytes: sum.sentBytes + one.sentBytes,
      receivedBytes: sum.receivedBytes + one.receivedBytes,
    }),
    {sentBytes: 0, receivedBytes: 0},
  );
}
