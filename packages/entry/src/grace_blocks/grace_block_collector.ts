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

/** The block of an owner by one entry. */
interface OwnerBlock extends GraceBlock {
  readonly owner: string;
}

/**
 * Asks the other entries for how long they have blocked the grace periods of earlier
 * owners that may not know this entry.
 *
 * Each answer counts by itself: spans of two answers are never joined, since this
 * machine may have been suspended between them, while its clock stood still.
 */
export class GraceBlockCollector {
  /** Those of the last round in which there were any. */
  private blocks: readonly OwnerBlock[] = [];

  constructor(private readonly parts: GraceBlockCollectorParts) {}

  /** The blocks of a named owner, by the last answers of the entries. */
  blocksOf(owner: string): readonly GraceBlock[] {
    return this.blocks.filter(one => one.owner === owner);
  }

  /** Background loop: asks while there are such owners, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, owners} = this.parts;
    while (!signal.aborted) {
      const next = clock.now() + ROUND_INTERVAL_MILLISECONDS;
      const names = owners();
      if (names.length > 0) await this.askAll(names);
      await clock.sleepUntil(next, signal);
    }
  }

  private async askAll(owners: readonly string[]): Promise<void> {
    const links = this.parts.links();
    const answers = await Promise.all(links.map(one => this.ask(one, owners)));
    const blocks = answers.flat();
    if (blocks.length > 0) this.blocks = blocks;
  }

  private async ask(
    link: Link,
    owners: readonly string[],
  ): Promise<readonly OwnerBlock[]> {
    const {clock} = this.parts;
    const askedAt = clock.now();
    const deadline = askedAt + CALL_TIMEOUT_MILLISECONDS;
    try {
      const {blocks} = await link.call(graceBlocksMethod, {owners}, deadline);
      const answeredAt = clock.now();
      return blocks.map(({owner, sinceMilliseconds, untilMilliseconds}) => ({
        owner,
        since: answeredAt - sinceMilliseconds / MAX_CLOCK_RATIO,
        until: askedAt - untilMilliseconds * MAX_CLOCK_RATIO,
      }));
    } catch {
      // It doesn't answer in time, or its release doesn't know the call.
      return [];
    }
  }
}
