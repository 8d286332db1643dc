import type {PublishedChange} from './published_change_types.js';

/** A published change with the revision that the store assigned to it. */
export interface PublishedRevision extends PublishedChange {
  readonly revision: number;
}
