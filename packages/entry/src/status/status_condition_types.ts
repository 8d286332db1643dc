/** One part of the state of an entry or of the fleet as it sees it. */
export interface StatusCondition {
  readonly type: string;
  readonly isMet: boolean;
  /** One word for programs. */
  readonly reason: string;
  /** A sentence for people, with what to do when it is not met. */
  readonly message: string;
}
