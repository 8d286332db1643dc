import type {Clock} from '@chicoryspring/contracts';
import {graceBlocksMethod, type Link} from '@chicoryspring/links';
import {MAX_CLOCK_RATIO} from '../membership/max_clock_ratio.js';
import type {GraceBlock} from './grace_block_types.js';

const ROUND_INTERVAL_MILLISECONDS = 250;
const CALL_TIMEOUT_MILLISECONDS = 400;

interface GraceBlockCollectorParts {
  readonly clock: Clock;
  /** Open links to the other entries. */
  readonly links: () => readonly Link[];
  /** Earlier owners that are waited for and may not know this entry. */
  readonly owners: () => readonly string[];
}

/**
 * Asks the other entries for how long they have blocked the grace periods of earlier
 * owners that may not know this entry.
 *
 * It says nothing of the time after the last answer: the next one has to follow
 * without a gap, from the same entry or another one.
 */
export class GraceBlockCollector {
  private readonly blocks = new Map<string, GraceBlock>();

  constructor(private readonly parts: GraceBlockCollectorParts) {}

  /** The latest block of a named owner; undefined if none is known. */
  blockOf(owner: string): GraceBlock | undefined {
    return this.blocks.get(owner);
  }

  /** Background loop: asks while there are such owners, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, links, owners} = this.parts;
    while (!signal.aborted) {
      const askedAt = clock.now();
      const names = owners();
      if (names.length > 0)
        await Promise.all(links().map(link => this.ask(link, names)));
      const next = askedAt + ROUND_INTERVAL_MILLISECONDS;
      await clock.sleepUntil(next, signal);
    }
  }

  private async ask(link: Link, owners: readonly string[]): Promise<void> {
    const {clock} = this.parts;
    const askedAt = clock.now();
    const deadline = askedAt + CALL_TIMEOUT_MILLISECONDS;
    try {
      const answer = await link.call(graceBlocksMethod, {owners}, deadline);
      const answeredAt = clock.now();
      for (const {owner, sinceMilliseconds, untilMilliseconds} of answer.blocks)
        this.record(owner, {
          since: answeredAt - sinceMilliseconds / MAX_CLOCK_RATIO,
          until: askedAt - untilMilliseconds * MAX_CLOCK_RATIO,
        });
    } catch {
      // It doesn't answer in time, or its release doesn't know the call.
    }
  }

  /** Joins spans without a gap between them; of others, the later one counts. */
  private record(owner: string, block: GraceBlock): void {
    const known = this.blocks.get(owner) ?? block;
    const isJoined = block.since <= known.until && known.since <= block.until;
    const joined = {
      since: Math.min(known.since, block.since),
      until: Math.max(known.until, block.until),
    };
    const later = block.until > known.until ? block : known;
    this.blocks.set(owner, isJoined ? joined : later);
  }
}
