import type {Target} from '../target/target_types.js';
import type {RoutingPolicy} from './routing_policy_types.js';

/** Baseline: a target drawn uniformly at random. */
export class RandomRoutingPolicy implements RoutingPolicy {
  constructor(private readonly random: () => number) {}

  choose(targets: readonly Target[]): Target | undefined {
    return targets[Math.floor(this.random() * targets.length)];
  }
}
