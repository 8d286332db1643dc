/**
 * Time for which an agent may keep runs alive on its own, from the sending of the call
 * that showed that no other entry could own the shards.
 */
const PERMISSION_MILLISECONDS = 2_500;
/** A worker's lease of 6 s on a clock that is 2% slow, and a margin. */
const WORKER_LEASE_MILLISECONDS = 6_120 + 400;

/** How long runs go on without their owner. */
export const RUN_LEASE_BOUNDS = {
  permissionMilliseconds: PERMISSION_MILLISECONDS,
  workerLeaseMilliseconds: WORKER_LEASE_MILLISECONDS,
  /** Time from the last such call until every run that was kept alive has ended. */
  runMilliseconds: PERMISSION_MILLISECONDS + WORKER_LEASE_MILLISECONDS,
} as const;
