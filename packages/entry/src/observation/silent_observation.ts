import {SilentMetrics, SilentStateLog} from '@chicoryspring/observability';
import type {EntryObservation} from './entry_observation_types.js';

/** Where an entry tells nobody what it does. */
export const SILENT_OBSERVATION: EntryObservation = {
  metrics: new SilentMetrics(),
  stateLog: new SilentStateLog(),
};
