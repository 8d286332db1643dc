/** Callers and operators. */
export {type Caller} from './identity/caller_types.js';
export {CallerAuthenticator} from './identity/caller_authenticator.js';
export {CallerProgressStore} from './admission/caller_progress_store.js';
export {FairQueueStore} from './admission/fair_queue_store.js';
