import type {EntryMember} from '@chicoryspring/contracts';

/** Share of the fastest connection that an owner of shards must have. */
const MIN_RATE_SHARE = 0.5;

/**
 * Names of the entries that may own shards.
 *
 * All agents report to the owner of the shards, so its network connection
 * carries far more than that of another entry. Entries with a much slower
 * connection than the fastest live one own none. An entry of unknown rate counts
 * as slow, unless no rate is known.
 */
export function ownerCandidates(
  entries: readonly EntryMember[],
): readonly string[] {
  const rateOf = (entry: EntryMember) => entry.megabitsPerSecond ?? 0;
  const fastest = Math.max(0, ...entries.map(rateOf));
  return entries
    .filter(entry => rateOf(entry) >= fastest * MIN_RATE_SHARE)
    .map(entry => entry.name);
}
