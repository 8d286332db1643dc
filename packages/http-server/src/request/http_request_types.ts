/** A request as a route sees it. */
export interface HttpRequest {
  readonly headers: Readonly<Record<string, string | undefined>>;
  /** Path as it was sent, without the query. */
  readonly target: string;
  /** Parts of the path that the route names. */
  readonly path: Readonly<Record<string, string>>;
  readonly query: Readonly<Record<string, string | undefined>>;
  readonly body: string;
  /** Aborts when the peer goes away. */
  readonly closed: AbortSignal;
}
