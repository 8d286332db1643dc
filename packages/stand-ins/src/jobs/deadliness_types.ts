/** How a deadly task crashes its worker. */
export interface Deadliness {
  /** Time for which it runs before; 0 if absent. */
  readonly milliseconds?: number;
  /** Whether the worker falls silent, instead of refusing connections. */
  readonly isSilent?: boolean;
}
