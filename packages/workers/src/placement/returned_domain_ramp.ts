/** Time over which a returned failure domain takes its full share again. */
const RAMP_MILLISECONDS = 30_000;

/**
 * Lets work onto a returned failure domain little by little.
 *
 * An empty domain looks best to every decision at once, while nothing is known
 * yet of what its workers bear.
 */
export class ReturnedDomainRamp {
  private readonly lastOutAt = new Map<string, number>();

  /** Notes which failure domains are out now. */
  recordOutOfService(domainsOut: ReadonlySet<string>, now: number): void {
    for (const failureDomain of domainsOut) {
      this.lastOutAt.set(failureDomain, now);
    }
  }

  /** The failure domains that a decision passes over, by a random draw. */
  drawSkipped(random: () => number, now: number): readonly string[] {
    const skipped: string[] = [];
    for (const [failureDomain, outAt] of this.lastOutAt) {
      const share = (now - outAt) / RAMP_MILLISECONDS;
      if (share >= 1) this.lastOutAt.delete(failureDomain);
      else if (random() >= share) skipped.push(failureDomain);
    }
    return skipped;
  }
}
