/** An open ending is being made durable; a settled one can be forgotten. */
type EndingState = 'open' | 'settled';

interface KnownEnding {
  readonly state: EndingState;
  /** Local instant before which a settlement is not sent again. */
  readonly sendAgainAt: number;
}

/** The endings that a worker incarnation lists, as known to the owner of jobs. */
export class FleetAgentEndings {
  private incarnation: string | undefined;
  private readonly known = new Map<number, KnownEnding>();

  /** State of an ending of that worker incarnation; undefined if new. */
  stateOf(incarnation: string, number: number): EndingState | undefined {
    return this.incarnation === incarnation
      ? this.known.get(number)?.state
      : undefined;
  }

  /** Whether the settlement of an ending should be sent, again or at last. */
  isSettlementDue(number: number, now: number): boolean {
    return (this.known.get(number)?.sendAgainAt ?? 0) <= now;
  }

  /** Records that an ending is being made durable. */
  open(incarnation: string, number: number): void {
    this.set(incarnation, number, {state: 'open', sendAgainAt: 0});
  }

  /** Records that an ending is settled, which is not sent again until then. */
  settle(incarnation: string, number: number, sendAgainAt: number): void {
    this.set(incarnation, number, {state: 'settled', sendAgainAt});
  }

  /** Forgets open endings, since the agent will report them again. */
  forgetOpen(): void {
    for (const [number, {state}] of this.known) {
      if (state === 'open') this.known.delete(number);
    }
  }

  /** Forgets settled endings that the incarnation no longer lists. */
  keepListed(incarnation: string, numbers: readonly number[]): void {
    if (this.incarnation !== incarnation) return;
    const listed = new Set(numbers);
    for (const [number, {state}] of this.known) {
      if (state === 'settled' && !listed.has(number)) this.known.delete(number);
    }
  }

  /** Forgets the endings of earlier incarnations. */
  private set(incarnation: string, number: number, ending: KnownEnding): void {
    if (this.incarnation !== incarnation) this.known.clear();
    this.incarnation = incarnation;
    this.known.set(number, ending);
  }
}
