/** The entry: serves callers and operators, and places tasks and jobs. */
export {type EntrySettings} from './settings/entry_settings_types.js';
export {type EntryTelemetry} from './observation/entry_telemetry_types.js';
export {type JobApi} from './jobs/job_api_types.js';
export {type EntryParts} from './process/entry_parts_types.js';
export {type InstrumentedStore} from './process/instrumented_store_types.js';
export {EntryProcess} from './process/entry_process.js';
