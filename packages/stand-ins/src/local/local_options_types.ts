/** Size and addresses of a local fleet. */
export interface LocalOptions {
  readonly entries: number;
  readonly workers: number;
  readonly failureDomains: number;
  readonly basePort: number;
  readonly shards: number;
  readonly slots: number;
  readonly connections: number;
  readonly serviceMilliseconds: number;
}
