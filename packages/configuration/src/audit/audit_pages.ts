import * as v from 'valibot';
import type {StoreOperation} from '@chicoryspring/store';
import {auditRecordSchema} from './audit_record_schema.js';
import type {AuditRecord} from './audit_record_types.js';

/** Records in one value; with the longest texts it stays under a megabyte. */
const PAGE_RECORDS = 250;
/** Values in the ring; the oldest page is written over. */
const PAGE_COUNT = 128;
const PAGE_DIGITS = 3;

const pageSchema = v.array(auditRecordSchema);

/** The pages of the audit trail: a ring of values in the store. */
export class AuditPages {
  static readonly headKey = '/chicoryspring/audit/head';
  private static readonly prefix = '/chicoryspring/audit/pages/';

  /** Number of the page that holds a sequence, counted over every lap. */
  static pageOf(sequence: number): number {
    return Math.floor((sequence - 1) / PAGE_RECORDS);
  }

  static key(page: number): string {
    const slot = String(page % PAGE_COUNT).padStart(PAGE_DIGITS, '0');
    return `${AuditPages.prefix}${slot}`;
  }

  /** Lowest page that the ring still holds when this one is the newest. */
  static oldest(newest: number): number {
    return Math.max(0, newest - PAGE_COUNT + 1);
  }

  /** The records of a page; those of an earlier lap are left out. */
  static decode(
    page: number,
    value: string | undefined,
  ): readonly AuditRecord[] {
    if (value === undefined) return [];
    const records = v.parse(pageSchema, JSON.parse(value));
    return records.filter(one => AuditPages.pageOf(one.sequence) === page);
  }

  /** Writes that put the records on their pages, after those in place. */
  static writes(
    inPlace: readonly AuditRecord[],
    added: readonly AuditRecord[],
  ): readonly StoreOperation[] {
    const pages = new Map<number, readonly AuditRecord[]>();
    for (const record of [...inPlace, ...added]) {
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
