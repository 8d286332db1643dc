/** The answer of a route to a request. */
export interface HttpAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
  readonly headers?: Readonly<Record<string, string>> | undefined;
}
