/** Time in which a returned failure domain ramps up to its full share. */
const RAMP_MILLISECONDS = 30_000;

/**
 * Slow start of a failure domain that returns to service.
 *
 * An empty domain has the lowest cost in every decision, so without the ramp
 * all new tasks would go there before the load of its workers is measured.
 */
export class ReturnedDomainRamp {
  private readonly lastOutAt = new Map<string, number>();

  /** Records which failure domains are out of service now. */
  recordOutOfService(domainsOut: ReadonlySet<string>, now: number): void {
    for (const failureDomain of domainsOut) {
      this.lastOutAt.set(failureDomain, now);
    }
  }

  /** Draws the returned failure domains that one placement skips. */
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
