import {ListedOwner} from './listed_owner.js';

/** Between the remaining time and the name; part of neither. */
const SEPARATOR = '\t';

/**
 * An agent on the durable list of a shard.
 *
 * For a silent one the list has the time that remained, when it was written, until
 * all its runs have certainly ended. A version that knows no such times takes time
 * and name for the name of an agent that never reports, and waits long enough.
 */
export class ListedAgent {
  constructor(
    readonly name: string,
    /** Undefined for an agent that may have a permission. */
    readonly remainingMilliseconds?: number,
  ) {}

  static parse(element: string): ListedAgent {
    const at = element.indexOf(SEPARATOR);
    if (at < 0) return new ListedAgent(element);
    const remaining = Number(element.slice(0, at));
    const isTime = at > 0 && Number.isFinite(remaining) && remaining >= 0;
    const name = element.slice(at + 1);
    return new ListedAgent(name, isTime ? remaining : undefined);
  }

  /** The agents that the elements of a list have. */
  static allIn(elements: readonly string[]): readonly ListedAgent[] {
    return elements
      .filter(one => !ListedOwner.isOwner(one))
      .map(one => ListedAgent.parse(one));
  }

  get isSilent(): boolean {
    return this.remainingMilliseconds !== undefined;
  }

  /** The element of the stored list. */
  get element(): string {
    const {remainingMilliseconds: remaining, name} = this;
    return remaining === undefined ? name : `${remaining}${SEPARATOR}${name}`;
  }
}
