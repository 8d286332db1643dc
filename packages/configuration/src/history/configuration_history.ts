import * as v from 'valibot';
import {decodeJson, requireReadable} from '@chicoryspring/contracts';
import {ConfigurationKeys} from '../publication/configuration_keys.js';
import {publishedChangeSchema} from './published_change_schema.js';
import type {PublishedChange} from './published_change_types.js';
import type {PublishedRevision} from './published_revision_types.js';

/** The history is one value of the store, so its length is bounded. */
const MAX_CHANGES = 500;

const historySchema = v.array(publishedChangeSchema);

/** The bounded list of published changes, the oldest first. */
export class ConfigurationHistory {
  constructor(private readonly changes: readonly PublishedChange[]) {}

  static decode(value: string | undefined): ConfigurationHistory {
    if (!value) return new ConfigurationHistory([]);
    const decoded = decodeJson(historySchema, value);
    const {history: key} = ConfigurationKeys;
    return new ConfigurationHistory(requireReadable(key, decoded));
  }

  /** Returns the history with the change added and the oldest ones dropped. */
  with(change: PublishedChange): ConfigurationHistory {
    const changes = [...this.changes, change].slice(-MAX_CHANGES);
    return new ConfigurationHistory(changes);
  }

  encode(): string {
    return JSON.stringify(this.changes);
  }

  /**
   * Every change with its revision, the newest first.
   *
   * The store assigns a revision only when it writes the change, so the change
   * doesn't contain it. It is the revision that the next change replaced; for
   * the newest change it is the revision in force.
   */
  revisions(inForce: number): readonly PublishedRevision[] {
    return this.changes
      .map((change, position) => ({
        ...change,
        revision: this.changes[position + 1]?.fromRevision ?? inForce,
      }))
      .reverse();
  }
}
