import type {Metrics, StateLog} from '@chicoryspring/observability';

/** Metrics and state log of an entry. */
export interface EntryTelemetry {
  readonly metrics: Metrics;
  readonly stateLog: StateLog;
}
