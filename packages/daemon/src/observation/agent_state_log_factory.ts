import {
  LineStateLog,
  NoOpStateLog,
  type StateChange,
  type StateLog,
} from '@chicoryspring/observability';

/** The log of an agent, which has no memory to spare for winston. */
export function createAgentStateLog(
  setting: unknown,
  common: StateChange,
): StateLog {
  if (setting === 'none') return new NoOpStateLog();
  return LineStateLog.to(process.stdout, common);
}
