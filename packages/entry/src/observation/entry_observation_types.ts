import type {Metrics, StateLog} from '@chicoryspring/observability';

/** Where an entry tells what it does. */
export interface EntryObservation {
  readonly metrics: Metrics;
  readonly stateLog: StateLog;
}
