import {decodeJson, requireReadable} from '@chicoryspring/contracts';
import type {Store} from '@chicoryspring/store';
import {configurationDocumentSchema} from '../document/configuration_document_schema.js';
import type {ConfigurationRevision} from '../document/configuration_revision_types.js';
import {EMPTY_REVISION} from '../document/empty_revision.js';
import {ConfigurationHistory} from '../history/configuration_history.js';
import type {PublishedRevision} from '../history/published_revision_types.js';
import {ConfigurationKeys} from './configuration_keys.js';
import type {ConfigurationSource} from './configuration_source_types.js';

/** Reads the published configuration from the store. */
export class ConfigurationReader implements ConfigurationSource {
  constructor(private readonly store: Store) {}

  /** The newest revision; revision 0 when nothing was published. */
  async read(): Promise<ConfigurationRevision> {
    const {values} = await this.store.readPrefix(ConfigurationKeys.document);
    return decodeRevision(values[0]);
  }

  /** The newest revision and the history, read as one snapshot. */
  async readPublished(): Promise<{
    readonly current: ConfigurationRevision;
    readonly changes: readonly PublishedRevision[];
  }> {
    const {values} = await this.store.readPrefix(ConfigurationKeys.published);
    const valueOf = (key: string) => values.find(one => one.key === key);
    const current = decodeRevision(valueOf(ConfigurationKeys.document));
    const history = valueOf(ConfigurationKeys.history)?.value;
    const {revision} = current;
    const changes = ConfigurationHistory.decode(history).revisions(revision);
    return {current, changes};
  }
}

function decodeRevision(
  found: {readonly value: string; readonly revision: number} | undefined,
): ConfigurationRevision {
  if (!found) return EMPTY_REVISION;
  const document = requireReadable(
    ConfigurationKeys.document,
    decodeJson(configurationDocumentSchema, found.value),
  );
  return {revision: found.revision, document};
}
