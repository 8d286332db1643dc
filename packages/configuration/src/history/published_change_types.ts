/** One published change in the history of the configuration. */
export interface PublishedChange {
  readonly changeId: string;
  readonly author: string;
  /** Wall-clock time of the publication, in ISO 8601. */
  readonly at: string;
  /** Revision that the change replaced. */
  readonly fromRevision: number;
  readonly summary: string;
}
