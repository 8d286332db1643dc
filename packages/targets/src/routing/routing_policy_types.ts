import type {Target} from '../target/target_types.js';

/** Chooses the target of a check. */
export interface RoutingPolicy {
  /** A target that may take one more request, or undefined when none may. */
  choose(
    targets: readonly Target[],
    localFailureDomain: string,
  ): Target | undefined;
}
