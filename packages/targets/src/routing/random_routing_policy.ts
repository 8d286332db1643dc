import type {Target} from '../target/target_types.js';
import type {RoutingPolicy} from './routing_policy_types.js';

/** Any target with the same chance; a baseline. */
export class RandomRoutingPolicy implements RoutingPolicy {
  constructor(private readonly random: () => number) {}

  choose(targets: readonly Target[]): Target | undefined {
    return targets[Math.floor(this.random() * targets.length)];
  }
}
