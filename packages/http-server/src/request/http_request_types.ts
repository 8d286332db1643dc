/** A request as it is passed to a route. */
export interface HttpRequest {
  readonly headers: Readonly<Record<string, string | undefined>>;
  /** Path as the peer sent it, without the query. */
  readonly target: string;
  /** Parameters of the path, by the names that the route gives them. */
  readonly path: Readonly<Record<string, string>>;
  readonly query: Readonly<Record<string, string | undefined>>;
  readonly body: string;
  /** While the server is stopping, the instant by which the answer is due. */
  readonly answerDue?: number | undefined;
  /** Aborts when the peer disconnects. */
  readonly closed: AbortSignal;
}
