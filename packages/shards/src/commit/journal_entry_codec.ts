import * as v from 'valibot';
import {decodeJson, type Decoded} from '@chicoryspring/contracts';
import {journalRecordSchema} from '../record/journal_record_schema.js';
import type {JournalEntry} from './journal_entry_types.js';

const schema: v.GenericSchema<unknown, JournalEntry> = v.object({
  commitId: v.string(),
  sequence: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
  records: v.array(journalRecordSchema),
  dropped: v.array(v.string()),
});

/** Encodes and decodes the journal entries and snapshots in the store. */
export class JournalEntryCodec {
  static encode(entry: JournalEntry): string {
    return JSON.stringify(entry);
  }

  static decode(text: string): Decoded<JournalEntry> {
    return decodeJson(schema, text);
  }
}
