/** What became of the requests of a server that stopped. */
export interface StopSummary {
  /** Requests in progress when the server was told to stop. */
  readonly inProgress: number;
  /** Requests that were refused since they arrived too late. */
  readonly refused: number;
  /** Requests whose wait was ended by the stop, with an answer. */
  readonly givenUp: number;
  /** Requests that had no answer when the connections were closed. */
  readonly unanswered: number;
}
