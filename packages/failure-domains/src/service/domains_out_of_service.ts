/**
 * The failure domains that are out of service, as the newest configuration that
 * this process has heard of says.
 *
 * Entries hear of a configuration at different times. An older revision is
 * ignored, so it never brings a domain back.
 */
export class DomainsOutOfService {
  private knownRevision = 0;
  private domains: readonly string[] = [];

  /** Highest configuration revision that this process has received. */
  get revision(): number {
    return this.knownRevision;
  }

  /** Applies the domains of a revision; false if a newer one is known. */
  apply(revision: number, domains: readonly string[]): boolean {
    if (revision < this.knownRevision) return false;
    this.knownRevision = revision;
    this.domains = domains;
    return true;
  }

  /** Whether the failure domain is out of service. */
  includes(failureDomain: string): boolean {
    return this.domains.includes(failureDomain);
  }
}
