import * as v from 'valibot';
import {decodeJson, requireReadable} from '@chicoryspring/contracts';
import type {StoreOperation} from '@chicoryspring/store';
import {auditRecordSchema} from './audit_record_schema.js';
import type {AuditRecord} from './audit_record_types.js';

/** With the longest texts, a page of this size stays under a megabyte. */
const RECORDS_PER_PAGE = 250;
/** Keys in the ring, one page each; a new page overwrites the oldest. */
const PAGE_COUNT = 128;
const PAGE_DIGITS = 3;

const pageSchema = v.array(auditRecordSchema);
const headSchema = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/**
 * The pages of the audit trail, a ring buffer of values in the store.
 *
 * Page numbers grow without bound. A page is stored in the slot, one of a fixed
 * number of keys, that is its number modulo the number of slots.
 */
export class AuditPages {
  static readonly headKey = '/chicoryspring/audit/head';
  private static readonly prefix = '/chicoryspring/audit/pages/';

  /** Number of records that the head key holds. */
  static decodeHead(value: string | undefined): number {
    if (value === undefined) return 0;
    const decoded = decodeJson(headSchema, value);
    return requireReadable(AuditPages.headKey, decoded);
  }

  /** Number of the page that holds a sequence number. */
  static pageOf(sequence: number): number {
    return Math.floor((sequence - 1) / RECORDS_PER_PAGE);
  }

  static key(page: number): string {
    const slot = String(page % PAGE_COUNT).padStart(PAGE_DIGITS, '0');
    return `${AuditPages.prefix}${slot}`;
  }

  /** Oldest page that is not overwritten while the given one is the newest. */
  static oldest(newest: number): number {
    return Math.max(0, newest - PAGE_COUNT + 1);
  }

  /** The records of a page, without those of an older page in its slot. */
  static decode(
    page: number,
    value: string | undefined,
  ): readonly AuditRecord[] {
    if (value === undefined) return [];
    const decoded = decodeJson(pageSchema, value);
    const records = requireReadable(AuditPages.key(page), decoded);
    return records.filter(one => AuditPages.pageOf(one.sequence) === page);
  }

  /** Operations that append records to those already on their page. */
  static writes(
    existing: readonly AuditRecord[],
    added: readonly AuditRecord[],
  ): readonly StoreOperation[] {
    const pages = new Map<number, readonly AuditRecord[]>();
    for (const record of [...existing, ...added]) {
      const page = AuditPages.pageOf(record.sequence);
      pages.set(page, [...(pages.get(page) ?? []), record]);
    }
    return [...pages].map(([page, records]) => ({
      kind: 'put' as const,
      key: AuditPages.key(page),
      value: JSON.stringify(records),
    }));
  }
}
