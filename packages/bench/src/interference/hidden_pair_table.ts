/** Shares and sizes of the harm that pairs do to each other. */
const HARMLESS_SHARE = 0.5;
const MILD_HARM = 0.05;
const SEVERE_HARM = 0.6;

/**
 * The true harm of each ordered pair of classes, which no policy reads.
 *
 * Half of the pairs hardly disturb each other; the rest do so up to 0.6.
 */
export class HiddenPairTable {
  private readonly harms = new Map<string, number>();

  constructor(
    readonly classes: readonly string[],
    random: () => number,
    /** Factor on every harm; lower for workers that run more tasks. */
    private readonly scale = 1,
  ) {
    for (const affected of classes) {
      for (const other of classes) {
        this.harms.set(`${affected}/${other}`, drawHarm(random));
      }
    }
  }

  harmOf(affected: string, other: string): number {
    return this.scale * this.harms.get(`${affected}/${other}`)!;
  }
}

function drawHarm(random: () => number): number {
  if (random() < HARMLESS_SHARE) return random() * MILD_HARM;
  return MILD_HARM + random() * (SEVERE_HARM - MILD_HARM);
}
