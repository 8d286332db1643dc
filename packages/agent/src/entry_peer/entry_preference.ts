import {createHash} from 'node:crypto';

/**
 * Orders the entries for a worker, its preferred entry first.
 *
 * The order is a rendezvous hash: workers are distributed evenly over the
 * entries, and an entry that joins or leaves moves only the workers that prefer
 * it.
 */
export function orderByPreference(
  worker: string,
  entryUrls: readonly string[],
): readonly string[] {
  const weights = new Map(entryUrls.map(url => [url, weightOf(worker, url)]));
  return [...entryUrls].sort(
    (left, right) => weights.get(right)! - weights.get(left)!,
  );
}

function weightOf(worker: string, entryUrl: string): number {
  const text = `${worker}/${entryUrl}`;
  return createHash('sha256').update(text).digest().readUInt32BE(0);
}
