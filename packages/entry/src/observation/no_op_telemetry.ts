import {NoOpMetrics, NoOpStateLog} from '@chicoryspring/observability';
import type {EntryTelemetry} from './entry_telemetry_types.js';

/** Metrics and state log that discard everything. */
export const NO_OP_TELEMETRY: EntryTelemetry = {
  metrics: new NoOpMetrics(),
  stateLog: new NoOpStateLog(),
};
