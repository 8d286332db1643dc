import type {ConfigurationObject} from '../objects/configuration_object_types.js';
import type {ConfigurationRevision} from './configuration_revision_types.js';
import {EMPTY_REVISION} from './empty_revision.js';

type Kind = ConfigurationObject['kind'];
type ObjectOf<K extends Kind> = Extract<
  ConfigurationObject,
  {readonly kind: K}
>;

/**
 * The configuration revision that is in force in this process.
 *
 * A lower revision is never applied, so the process never goes back to an older
 * configuration. Objects are indexed once for each revision, because they are
 * looked up for every request and every job.
 */
export class ActiveConfiguration {
  private inForce: ConfigurationRevision = EMPTY_REVISION;
  private lists: ReadonlyMap<Kind, readonly ConfigurationObject[]> = new Map();
  /** The objects by `KIND/NAME`. */
  private byName: ReadonlyMap<string, ConfigurationObject> = new Map();

  get current(): ConfigurationRevision {
    return this.inForce;
  }

  /** Applies a newer revision; returns false for one that is not newer. */
  adopt(candidate: ConfigurationRevision): boolean {
    if (candidate.revision <= this.inForce.revision) return false;
    this.inForce = candidate;
    const {objects} = candidate.document;
    this.lists = groupByKind(objects);
    this.byName = new Map(
      objects.map(one => [nameOf(one.kind, one.name), one]),
    );
    return true;
  }

  /** Every object of a kind. */
  objects<K extends Kind>(kind: K): readonly ObjectOf<K>[] {
    return (this.lists.get(kind) ?? []) as readonly ObjectOf<K>[];
  }

  /** The object of a kind and name; undefined without one. */
  find<K extends Kind>(kind: K, name: string): ObjectOf<K> | undefined {
    return this.byName.get(nameOf(kind, name)) as ObjectOf<K> | undefined;
  }

  /** Names of the failure domains that are out of service. */
  get domainsOut(): readonly string[] {
    return this.objects('FailureDomain')
      .filter(domain => !domain.spec.inService)
      .map(domain => domain.name);
  }
}

function groupByKind(
  objects: readonly ConfigurationObject[],
): ReadonlyMap<Kind, readonly ConfigurationObject[]> {
  const kinds = new Set(objects.map(one => one.kind));
  const listOf = (kind: Kind) => objects.filter(one => one.kind === kind);
  return new Map([...kinds].map(kind => [kind, listOf(kind)]));
}

function nameOf(kind: Kind, name: string): string {
  return `${kind}/${name}`;
}
