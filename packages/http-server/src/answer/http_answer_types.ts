/** What a route answers. */
export interface HttpAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
  readonly headers?: Readonly<Record<string, string>> | undefined;
}
