import {ChicoryspringError, type Clock} from '@chicoryspring/contracts';
import type {Store, StoreValue} from '@chicoryspring/store';
import type {AuditAddition} from './audit_addition_types.js';
import type {AuditEntry} from './audit_entry_types.js';
import type {AuditFilter} from './audit_filter_types.js';
import {AuditPages} from './audit_pages.js';
import type {AuditRecord} from './audit_record_types.js';

/** Attempts to append while other entry processes append first. */
const MAX_ATTEMPTS = 20;
const MAX_TEXT_CHARACTERS = 400;

/**
 * The durable audit trail of changes, a ring buffer of fixed size in the store.
 *
 * The head key holds the number of records. Each append is conditional on its
 * revision, so no record is lost when several entry processes write at once.
 */
export class AuditTrail {
  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
  ) {}

  /** Returns the writes that append entries in the transaction of a change. */
  async prepare(entries: readonly AuditEntry[]): Promise<AuditAddition> {
    const head = await this.readHead();
    const last = AuditPages.decodeHead(head?.value);
    const at = new Date(this.clock.now()).toISOString();
    const added = entries.map((entry, offset) => ({
      ...truncated(entry),
      sequence: last + 1 + offset,
      at,
    }));
    const existing = await this.readPage(AuditPages.pageOf(last + 1));
    const {headKey: key} = AuditPages;
    const value = String(last + entries.length);
    return {
      conditions: [{key, revision: head?.revision ?? 0}],
      operations: [
        {kind: 'put', key, value},
        ...AuditPages.writes(existing, added),
      ],
    };
  }

  /**
   * Appends entries in a transaction of their own, for changes that are already
   * durable. Throws `store-unavailable` if other writes win every attempt.
   */
  async append(entries: readonly AuditEntry[]): Promise<void> {
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const {conditions, operations} = await this.prepare(entries);
      const outcome = await this.store.transact(conditions, operations);
      if (outcome.succeeded) return;
    }
    const message = 'other writes to the audit trail won every attempt';
    throw new ChicoryspringError('store-unavailable', message);
  }

  /** The newest records that match the filter, the newest first. */
  async read(filter: AuditFilter): Promise<readonly AuditRecord[]> {
    const head = await this.readHead();
    const newest = AuditPages.pageOf(AuditPages.decodeHead(head?.value));
    const found: AuditRecord[] = [];
    for (let page = newest; page >= AuditPages.oldest(newest); page -= 1) {
      const records = await this.readPage(page);
      found.push(...records.filter(one => matches(one, filter)).reverse());
      if (found.length >= filter.limit || reachesBeforeSince(records, filter))
        break;
    }
    return found.slice(0, filter.limit);
  }

  private async readHead(): Promise<StoreValue | undefined> {
    return (await this.store.readPrefix(AuditPages.headKey)).values[0];
  }

  private async readPage(page: number): Promise<readonly AuditRecord[]> {
    const {values} = await this.store.readPrefix(AuditPages.key(page));
    return AuditPages.decode(page, values[0]?.value);
  }
}

function truncated(entry: AuditEntry): AuditEntry {
  const summary = entry.summary.slice(0, MAX_TEXT_CHARACTERS);
  const object = entry.object.slice(0, MAX_TEXT_CHARACTERS);
  return {...entry, summary, object};
}

function matches(record: AuditRecord, filter: AuditFilter): boolean {
  const {actor, action, object, outcome, since} = filter;
  if (actor !== undefined && record.actor !== actor) return false;
  if (action !== undefined && record.action !== action) return false;
  if (object !== undefined && !record.object.includes(object)) return false;
  if (outcome !== undefined && record.outcome !== outcome) return false;
  return since === undefined || record.at >= since;
}

/** Whether every record of the older pages is earlier than `since`. */
function reachesBeforeSince(
  records: readonly AuditRecord[],
  filter: AuditFilter,
): boolean {
  const oldest = records[0];
  return Boolean(filter.since && oldest && oldest.at < filter.since);
}
