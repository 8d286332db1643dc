/** Length of the lease in the store under which an entry is registered. */
export const ENTRY_LEASE_MILLISECONDS = 2_000;
