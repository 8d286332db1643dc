import {createHash} from 'node:crypto';

/**
 * Orders members for a key by rendezvous hashing, its preferred member first.
 *
 * Keys are distributed evenly over the members, and a member that joins or leaves
 * moves only the keys that prefer it.
 */
export function rendezvousOrder(
  key: string,
  members: readonly string[],
): readonly string[] {
  const weighted = members.map(member => ({
    member,
    weight: weightOf(key, member),
  }));
  weighted.sort((left, right) => right.weight - left.weight);
  return weighted.map(({member}) => member);
}

function weightOf(key: string, member: string): number {
  const text = `${key}/${member}`;
  return createHash('sha256').update(text).digest().readUInt32BE(0);
}
