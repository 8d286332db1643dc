import type {Target} from '../target/target_types.js';

/** Chooses the target of a check. */
export interface RoutingPolicy {
  /**
   * Chooses one of the given targets; undefined if none is given.
   *
   * The caller passes only targets below their concurrency limit.
   */
  choose(
    targets: readonly Target[],
    localFailureDomain: string,
  ): Target | undefined;
}
