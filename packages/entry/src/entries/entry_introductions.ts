import type {Clock} from '@chicoryspring/contracts';

interface Introduction {
  readonly registration: string;
  /** Local instant of the first one for this registration. */
  readonly at: number;
}

/** The other entries that have read the registration of this one. */
export class EntryIntroductions {
  private readonly byEntry = new Map<string, Introduction>();

  constructor(private readonly clock: Clock) {}

  /** The named entry knows this one under a registration. */
  record(entry: string, registration: string): void {
    if (this.byEntry.get(entry)?.registration === registration) return;
    this.byEntry.set(entry, {registration, at: this.clock.now()});
  }

  /**
   * Local instant since which the named entry certainly knows the registration;
   * undefined if it may not know it.
   */
  introducedAt(entry: string, registration: string): number | undefined {
    const known = this.byEntry.get(entry);
    return known?.registration === registration ? known.at : undefined;
  }
}
