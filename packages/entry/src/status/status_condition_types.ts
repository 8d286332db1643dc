/** One condition of an entry, or of the fleet as the entry sees it. */
export interface StatusCondition {
  readonly type: string;
  readonly isMet: boolean;
  /** One word for programs. */
  readonly reason: string;
  /** A sentence for operators, with what to do if the condition is not met. */
  readonly message: string;
}
