import {ListedAgent} from './listed_agent.js';

interface PossibleList {
  /** Revision of the list in the store on which the write depends. */
  readonly afterRevision: number;
  readonly elements: ReadonlySet<string>;
  /** Names of the agents that are listed as silent. */
  readonly silent: ReadonlySet<string>;
}

/**
 * What a list in the store may be now, or become by a write without an answer.
 *
 * Such a write may take effect as long as the revision on which it depends is
 * that of the list.
 */
export class PossibleLists {
  private known: PossibleList | undefined;
  private unanswered: ReadonlyMap<string, PossibleList> = new Map();

  /** Whether the list has been read. */
  get isRead(): boolean {
    return this.known !== undefined;
  }

  /** The list is as given, with that revision; earlier writes are void. */
  setKnown(elements: readonly string[], revision: number): void {
    this.known = listOf(elements, revision);
    const pending = [...this.unanswered].filter(
      ([, one]) => one.afterRevision === revision,
    );
    this.unanswered = new Map(pending);
  }

  /**
   * A write that depends on that revision is about to be sent. Returns whether it
   * differs from each earlier one without an answer.
   */
  addUnanswered(elements: readonly string[], revision: number): boolean {
    const key = keyOf(elements, revision);
    if (this.unanswered.has(key)) return false;
    const added = listOf(elements, revision);
    this.unanswered = new Map([...this.unanswered, [key, added]]);
    return true;
  }

  /** That write, sent once, did not take effect and never will. */
  removeUnanswered(elements: readonly string[], revision: number): void {
    const key = keyOf(elements, revision);
    const others = [...this.unanswered].filter(([other]) => other !== key);
    this.unanswered = new Map(others);
  }

  /** Whether a write may still change the list of that revision. */
  isUncertain(revision: number): boolean {
    return [...this.unanswered.values()].some(
      one => one.afterRevision === revision,
    );
  }

  /** Whether the agent is certainly listed, and not as silent. */
  has(name: string): boolean {
    return this.isRead && this.all.every(one => one.elements.has(name));
  }

  /** Whether the agent may be listed as silent. */
  mayBeSilent(name: string): boolean {
    return !this.isRead || this.all.some(one => one.silent.has(name));
  }

  private get all(): readonly PossibleList[] {
    const {known, unanswered} = this;
    return known ? [known, ...unanswered.values()] : [...unanswered.values()];
  }
}

function listOf(
  elements: readonly string[],
  afterRevision: number,
): PossibleList {
  const silent = ListedAgent.allIn(elements).filter(one => one.isSilent);
  return {
    afterRevision,
    elements: new Set(elements),
    silent: new Set(silent.map(one => one.name)),
  };
}

function keyOf(elements: readonly string[], revision: number): string {
  return `${revision} ${JSON.stringify(elements)}`;
}
