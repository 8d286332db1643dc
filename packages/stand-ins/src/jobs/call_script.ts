/** What becomes of the calls of one kind, as a test says. */
export class CallScript<Fate> {
  /** Fates of the next calls, the first one first. */
  next: readonly Fate[] = [];

  constructor(
    /** Fate of the calls after those. */
    public always: Fate,
  ) {}

  /** Fate of one call. */
  take(): Fate {
    const [fate = this.always, ...rest] = this.next;
    this.next = rest;
    return fate;
  }
}
