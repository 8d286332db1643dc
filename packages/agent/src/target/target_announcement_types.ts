/** Announcement of a target to the agent next to it. */
export interface TargetAnnouncement {
  readonly service: string;
  readonly url: string;
  /** Requests that the target serves concurrently. */
  readonly slots: number;
  /** Connections that the target accepts. */
  readonly connections: number;
}
