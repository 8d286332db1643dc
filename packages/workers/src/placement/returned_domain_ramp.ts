/** Time over which a returned failure domain takes its full share again. */
const RAMP_MILLISECONDS = 30_000;

/**
 * Lets work onto a returned failure domain little by little.
 *
 * An empty domain looks best to every decision at once, while nothing is known
 * yet of what its workers bear.
 */
export class ReturnedDomainRamp {
  private readonly lastOut = new Map<string, number>();

  /** Notes which failure domains are out now. */
  note(domainsOut: ReadonlySet<string>, now: number): void {
    for (const failureDomain of domainsOut) {
      this.lastOut.set(failureDomain, now);
    }
  }

  /** The failure domains that a decision passes over, by a random draw. */
  held(random: () => number, now: number): readonly string[] {
    const held: string[] = [];
    for (const [failureDomain, outAt] of this.lastOut) {
      const share = (now - outAt) / RAMP_MILLISECONDS;
      if (share >= 1) this.lastOut.delete(failureDomain);
      else if (random() >= share) held.push(failureDomain);
    }
    return held;
  }
}
