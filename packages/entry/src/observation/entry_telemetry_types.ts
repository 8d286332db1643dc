import type {Metrics, StateLog} from '@chicoryspring/observability';

/** Where an entry tells what it does. */
export interface EntryTelemetry {
  readonly metrics: Metrics;
  readonly stateLog: StateLog;
}
