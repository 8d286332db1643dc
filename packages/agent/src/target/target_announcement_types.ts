/** What a target tells the agent beside it. */
export interface TargetAnnouncement {
  readonly service: string;
  readonly url: string;
  /** Requests that the target serves at once. */
  readonly slots: number;
  /** Connections that the target accepts. */
  readonly connections: number;
}
