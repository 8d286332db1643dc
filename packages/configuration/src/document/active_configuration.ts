import type {ConfigurationObject} from '../objects/configuration_object_types.js';
import type {ConfigurationRevision} from './configuration_revision_types.js';
import {EMPTY_REVISION} from './empty_revision.js';

/**
 * The configuration revision that is in force in this process.
 *
 * A lower revision is never applied, so the process never goes back to an older
 * configuration.
 */
export class ActiveConfiguration {
  private inForce: ConfigurationRevision = EMPTY_REVISION;

  get current(): ConfigurationRevision {
    return this.inForce;
  }

  /** Applies a newer revision; returns false for one that is not newer. */
  adopt(candidate: ConfigurationRevision): boolean {
    if (candidate.revision <= this.inForce.revision) return false;
    this.inForce = candidate;
    return true;
  }

  /** Every object of a kind. */
  objects<Kind extends ConfigurationObject['kind']>(
    kind: Kind,
  ): readonly Extract<ConfigurationObject, {readonly kind: Kind}>[] {
    return this.inForce.document.objects.filter(
      (one): one is Extract<ConfigurationObject, {readonly kind: Kind}> =>
        one.kind === kind,
    );
  }

  /** Names of the failure domains that are out of service. */
  get domainsOut(): readonly string[] {
    return this.objects('FailureDomain')
      .filter(domain => !domain.spec.inService)
      .map(domain => domain.name);
  }
}
