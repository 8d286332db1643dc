/** Callers and operators. */
export {type Caller} from './identity/caller_types.js';
export {CallerAuthenticator} from './identity/caller_authenticator.js';
export {CallerConcurrencyLimiter} from './admission/caller_concurrency_limiter.js';
export {FairQueue} from './admission/fair_queue.js';
