import {
  LineStateLog,
  NoOpStateLog,
  type StateChange,
  type StateLog,
} from '@chicoryspring/observability';

/** Creates the state log of an agent, without winston to save memory. */
export function createAgentStateLog(
  setting: unknown,
  commonFields: StateChange,
): StateLog {
  if (setting === 'none') return new NoOpStateLog();
  return LineStateLog.to(process.stdout, commonFields);
}
