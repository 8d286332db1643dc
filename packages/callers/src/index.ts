/** Callers and operators. */
export type {Caller} from './identity/caller_types.js';
export {CallerAuthenticator} from './identity/caller_authenticator.js';
