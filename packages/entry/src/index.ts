/** The thin entry instance: callers, operators, tasks and placement. */
export {type EntrySettings} from './settings/entry_settings_types.js';
export {type EntryObservation} from './observation/entry_observation_types.js';
export {type JobInterface} from './jobs/job_interface_types.js';
export {type EntryParts} from './process/entry_parts_types.js';
export {type EntryStore} from './process/entry_store_types.js';
export {EntryProcess} from './process/entry_process.js';
