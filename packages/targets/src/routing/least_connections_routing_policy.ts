import type {Target} from '../target/target_types.js';
import type {RoutingPolicy} from './routing_policy_types.js';

/** Baseline: a target with the fewest requests in flight of this entry. */
export class LeastConnectionsRoutingPolicy implements RoutingPolicy {
  constructor(private readonly random: () => number) {}

  choose(targets: readonly Target[]): Target | undefined {
    const counts = targets.map(target => target.requestsInFlight);
    const min = Math.min(...counts);
    const tied = targets.filter(target => target.requestsInFlight === min);
    return tied[Math.floor(this.random() * tied.length)];
  }
}
