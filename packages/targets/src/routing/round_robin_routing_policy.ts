import type {Target} from '../target/target_types.js';
import type {RoutingPolicy} from './routing_policy_types.js';

/** Baseline: the targets in turn. */
export class RoundRobinRoutingPolicy implements RoutingPolicy {
  private decisions = 0;

  choose(targets: readonly Target[]): Target | undefined {
    if (targets.length === 0) return undefined;
    this.decisions += 1;
    return targets[this.decisions % targets.length];
  }
}
