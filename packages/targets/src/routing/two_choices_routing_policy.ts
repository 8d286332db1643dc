import type {Target} from '../target/target_types.js';
import type {RoutingPolicy} from './routing_policy_types.js';

/** The better of two random targets, by requests in flight, then by tail. */
export class TwoChoicesRoutingPolicy implements RoutingPolicy {
  constructor(private readonly random: () => number) {}

  choose(targets: readonly Target[]): Target | undefined {
    if (targets.length < 2) return targets[0];
    const first = Math.floor(this.random() * targets.length);
    const offset = 1 + Math.floor(this.random() * (targets.length - 1));
    const second = (first + offset) % targets.length;
    return better(targets[first]!, targets[second]!);
  }
}

function better(left: Target, right: Target): Target {
  const difference = loadOf(left) - loadOf(right);
  if (difference !== 0) return difference < 0 ? left : right;
  return left.tailMilliseconds <= right.tailMilliseconds ? left : right;
}

function loadOf(target: Target): number {
  const inFlight = Math.max(target.requestsInFlight, target.reportedInFlight);
  return inFlight / target.slots;
}
