/** Where the processes of a local fleet are, and how to use them. */
export interface LocalFleet {
  readonly store: {readonly url: string; readonly pid: number};
  readonly entries: readonly {
    readonly name: string;
    readonly url: string;
    readonly pid: number;
  }[];
  readonly agents: readonly {
    readonly name: string;
    readonly worker: string;
    readonly failureDomain: string;
    readonly url: string;
    readonly pid: number;
  }[];
  readonly workers: readonly {
    readonly name: string;
    readonly url: string;
    readonly pid: number;
  }[];
  readonly targets: readonly {
    readonly service: string;
    readonly url: string;
    readonly pid: number;
  }[];
  readonly operatorToken: string;
  readonly callerTokens: Readonly<Record<string, string>>;
  /** A valid body of `POST /v1/tasks`. */
  readonly exampleTask: object;
}
