import {randomUUID} from 'node:crypto';
import {ChicoryspringError, type Clock} from '@chicoryspring/contracts';
import type {Store, StoreTransaction} from '@chicoryspring/store';
import type {AuditTrail} from '../audit/audit_trail.js';
import {diffConfiguration} from '../diff/configuration_diff.js';
import {summarizeChange} from '../diff/change_summary.js';
import type {ConfigurationDocument} from '../document/configuration_document_types.js';
import type {ConfigurationRevision} from '../document/configuration_revision_types.js';
import {ConfigurationHistory} from '../history/configuration_history.js';
import type {PublishedChange} from '../history/published_change_types.js';
import {ConfigurationKeys} from './configuration_keys.js';
import {ConfigurationReader} from './configuration_reader.js';
import type {PublicationRequest} from './publication_request_types.js';

/** Attempts of one publication while other writes to the audit trail win. */
const MAX_ATTEMPTS = 20;

/**
 * Publishes whole sets of objects by compare-and-swap on one key of the store.
 *
 * That key, the head, holds a small value and is written together with the
 * document, so that reading the newest revision stays cheap. The history and
 * the audit record are written in the same transaction, so every accepted
 * change has its record.
 */
export class ConfigurationPublisher {
  static readonly headKey = ConfigurationKeys.head;
  private readonly reader: ConfigurationReader;

  constructor(
    private readonly store: Store,
    private readonly audit: AuditTrail,
    private readonly clock: Clock,
  ) {
    this.reader = new ConfigurationReader(store);
  }

  /**
   * Replaces the expected revision by a new set.
   *
   * After a write that failed or whose outcome is unknown, it reads the history
   * to see whether the change took effect. Throws `revision-conflict` if
   * another change came first, and errors of the store.
   */
  async publish(request: PublicationRequest): Promise<ConfigurationRevision> {
    const {objects, author} = request;
    const document = {changeId: randomUUID(), author, objects};
    let mayHaveTakenEffect = false;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      try {
        const outcome = await this.compareAndSwap(request, document);
        if (outcome.succeeded) return {revision: outcome.revision, document};
      } catch (thrown) {
        if (!isOutcomeUnknown(thrown))
          throw withOutcomeCertainty(thrown, mayHaveTakenEffect);
        mayHaveTakenEffect = true;
      }
      const revision = await this.resolveOutcome(
        request,
        document.changeId,
      ).catch(thrown => {
        throw withOutcomeCertainty(thrown, mayHaveTakenEffect);
      });
      if (revision !== undefined) return {revision, document};
    }
    const message = 'other writes to the audit trail won every attempt';
    throw withOutcomeCertainty(
      new ChicoryspringError('store-unavailable', message),
      mayHaveTakenEffect,
    );
  }

  private async compareAndSwap(
    request: PublicationRequest,
    document: ConfigurationDocument,
  ): Promise<StoreTransaction> {
    const {author, action, subject, expectedRevision} = request;
    const {changeId} = document;
    const summary = summaryOf(request);
    const at = new Date(this.clock.now()).toISOString();
    const change = {changeId, author, at, summary};
    const history = await this.extendedHistory(change, expectedRevision);
    const addition = await this.audit.prepare([
      {
        actor: author,
        action,
        object: subject,
        summary,
        fromRevision: expectedRevision,
        outcome: 'accepted',
      },
    ]);
    const head = {
      key: ConfigurationKeys.head,
      revision: expectedRevision,
    };
    const value = JSON.stringify(document);
    return await this.store.transact(
      [head, ...addition.conditions],
      [
        {kind: 'put', key: ConfigurationKeys.head, value: changeId},
        {kind: 'put', key: ConfigurationKeys.document, value},
        {kind: 'put', key: ConfigurationKeys.history, value: history},
        ...addition.operations,
      ],
    );
  }

  private async extendedHistory(
    change: Omit<PublishedChange, 'fromRevision'>,
    fromRevision: number,
  ): Promise<string> {
    const {values} = await this.store.readPrefix(ConfigurationKeys.history);
    const history = ConfigurationHistory.decode(values[0]?.value);
    return history.with({...change, fromRevision}).encode();
  }

  /**
   * Returns the revision of this change if it took effect, or undefined if it
   * may be retried. Throws `revision-conflict` if another change took effect.
   */
  private async resolveOutcome(
    request: PublicationRequest,
    changeId: string,
  ): Promise<number | undefined> {
    const {current, changes} = await this.reader.readPublished();
    const ownChange = changes.find(one => one.changeId === changeId);
    if (ownChange) return ownChange.revision;
    const {revision, document} = current;
    if (revision === request.expectedRevision) return undefined;
    const message = `revision ${revision} by ${document.author} is in force`;
    throw new ChicoryspringError('revision-conflict', message);
  }
}

function summaryOf(request: PublicationRequest): string {
  const {replaced, objects} = request;
  return summarizeChange(diffConfiguration(replaced, objects));
}

function isOutcomeUnknown(thrown: unknown): boolean {
  return (
    thrown instanceof ChicoryspringError &&
    thrown.kind === 'store-outcome-unknown'
  );
}

/**
 * Turns an outage into `store-outcome-unknown` if an earlier write may have
 * taken effect: `store-unavailable` would say that nothing was written.
 */
function withOutcomeCertainty(
  thrown: unknown,
  mayHaveTakenEffect: boolean,
): unknown {
  const isOutage =
    thrown instanceof ChicoryspringError && thrown.kind === 'store-unavailable';
  if (!isOutage || !mayHaveTakenEffect) return thrown;
  return new ChicoryspringError('store-outcome-unknown', thrown.message);
}
