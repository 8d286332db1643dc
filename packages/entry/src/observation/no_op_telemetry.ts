import {NoOpMetrics, NoOpStateLog} from '@chicoryspring/observability';
import type {EntryTelemetry} from './entry_telemetry_types.js';

/** Where an entry tells nobody what it does. */
export const NO_OP_TELEMETRY: EntryTelemetry = {
  metrics: new NoOpMetrics(),
  stateLog: new NoOpStateLog(),
};
