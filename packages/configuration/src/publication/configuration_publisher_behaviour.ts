import * as v from 'valibot';
import {randomUUID} from 'node:crypto';
import {ChicoryspringError} from '@chicoryspring/contracts';
import type {Store} from '@chicoryspring/store';
import {checkConfiguration} from '../check/configuration_check.js';
import {configurationDocumentSchema} from '../document/configuration_document_schema.js';
import type {ConfigurationRevision} from '../document/configuration_revision_types.js';

/**
 * Publishes whole sets by compare-and-swap on one key of the store.
 *
 * The head is a small value beside the document, written together with it, so
 * that asking for the newest revision stays cheap.
 */
export class ConfigurationPublisher {
  static readonly headKey = '/chicoryspring/live/head';
  static readonly documentKey = '/chicoryspring/configuration/document';

  constructor(private readonly store: Store) {}

  /** The newest revision, or undefined when nothing was published. */
  async read(): Promise<ConfigurationRevision | undefined> {
    const key = ConfigurationPublisher.documentKey;
    const found = (await this.store.readPrefix(key)).values[0];
    if (!found) return undefined;
    const value: unknown = JSON.parse(found.value);
    const document = v.parse(configurationDocumentSchema, value);
    return {revision: found.revision, document};
  }

  /**
   * Publishes a set that passed the check in place of a known revision.
   *
   * Errors: `configuration-invalid`, `revision-conflict`, and the store's.
   */
  async publish(
    candidates: readonly unknown[],
    expectedRevision: number,
    author: string,
  ): Promise<ConfigurationRevision> {
    const {objects, findings} = checkConfiguration(candidates);
    if (findings.length > 0) {
      const details = findings.map(
        one => `${one.object} ${one.field}: ${one.message}`,
      );
      const message = `${details.length} faults in the configuration`;
      throw new ChicoryspringError('configuration-invalid', message, details);
    }
    const document = {changeId: randomUUID(), author, objects};
    const revision = await this.swap(
      expectedRevision,
      JSON.stringify(document),
      document.changeId,
    );
    return {revision, document};
  }

  private async swap(
    expectedRevision: number,
    value: string,
    changeId: string,
  ): Promise<number> {
    const {headKey, documentKey} = ConfigurationPublisher;
    try {
      const outcome = await this.store.transact(
        [{key: headKey, revision: expectedRevision}],
        [
          {kind: 'put', key: headKey, value: changeId},
          {kind: 'put', key: documentKey, value},
        ],
      );
      if (outcome.succeeded) return outcome.revision;
    } catch (thrown) {
      const isLost =
        thrown instanceof ChicoryspringError &&
        thrown.kind === 'store-outcome-unknown';
      if (!isLost) throw thrown;
    }
    return await this.resolveByReading(changeId);
  }

  /** Whether the head carries our change id after a lost or refused swap. */
  private async resolveByReading(changeId: string): Promise<number> {
    const current = await this.read();
    if (current?.document.changeId === changeId) return current.revision;
    const winner = current?.document.author ?? 'nobody';
    const message = `revision ${current?.revision ?? 0} by ${winner} is in force`;
    throw new ChicoryspringError('revision-conflict', message);
  }
}
