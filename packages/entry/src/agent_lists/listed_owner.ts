/** Before the name; no name of an agent begins so, nor a listed time. */
const PREFIX = 'owner\t';

/**
 * An owner of a shard on the durable list of its agents.
 *
 * A version that knows no such elements takes it for an agent that never reports,
 * and waits long enough.
 */
export class ListedOwner {
  constructor(readonly name: string) {}

  static isOwner(element: string): boolean {
    return element.startsWith(PREFIX);
  }

  /** Names of the owners that the elements of a list have. */
  static namesIn(elements: readonly string[]): readonly string[] {
    const owners = elements.filter(one => ListedOwner.isOwner(one));
    return owners.map(one => one.slice(PREFIX.length));
  }

  /** The element of the stored list. */
  get element(): string {
    return `${PREFIX}${this.name}`;
  }
}
