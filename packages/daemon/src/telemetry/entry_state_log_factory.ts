import {
  NoOpStateLog,
  WinstonStateLog,
  type StateChange,
  type StateLog,
} from '@chicoryspring/observability';

/** Creates the state log of an entry, written through winston. */
export async function createEntryStateLog(
  setting: unknown,
  commonFields: StateChange,
): Promise<StateLog> {
  if (setting === 'none') return new NoOpStateLog();
  return await WinstonStateLog.create(commonFields);
}
