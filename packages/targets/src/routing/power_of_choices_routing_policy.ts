import type {Target} from '../target/target_types.js';
import type {RoutingPolicy} from './routing_policy_types.js';

/** A target of another domain must be cheaper by this factor. */
const SPILL_FACTOR = 1.25;
/** Latency assumed for a target without a recent answer. */
const UNKNOWN_LATENCY_MILLISECONDS = 1;

/**
 * The cheapest of a few random targets, by latency and requests in flight.
 *
 * Draws as many targets from the local failure domain as from the others. A
 * target of another domain must be cheaper by a factor, so that requests spill
 * over before local queueing raises the latency, and not earlier. A target
 * without a recent answer gets one request at a time, so that a new or returned
 * target does not receive a thundering herd.
 */
export class PowerOfChoicesRoutingPolicy implements RoutingPolicy {
  constructor(
    private readonly random: () => number,
    private readonly choices: number,
  ) {}

  choose(
    targets: readonly Target[],
    localFailureDomain: string,
  ): Target | undefined {
    const isLocal = (one: Target) => one.failureDomain === localFailureDomain;
    const local = this.best(targets.filter(isLocal));
    const remote = this.best(targets.filter(one => !isLocal(one)));
    if (!local || !remote) return local ?? remote;
    return costOf(remote) * SPILL_FACTOR < costOf(local) ? remote : local;
  }

  /** Returns the cheapest of the drawn targets. */
  private best(targets: readonly Target[]): Target | undefined {
    if (targets.length === 0) return undefined;
    let best = this.draw(targets);
    for (let drawn = 1; drawn < this.choices; drawn += 1) {
      const other = this.draw(targets);
      if (costOf(other) < costOf(best)) best = other;
    }
    return best;
  }

  private draw(targets: readonly Target[]): Target {
    return targets[Math.floor(this.random() * targets.length)]!;
  }
}

/** Expected latency of one more request. */
function costOf(target: Target): number {
  const {latencyMilliseconds, requestsInFlight, reportedInFlight} = target;
  const isUnknown = latencyMilliseconds === undefined;
  if (isUnknown && requestsInFlight > 0) return Infinity;
  const latency = latencyMilliseconds ?? UNKNOWN_LATENCY_MILLISECONDS;
  const inFlight = Math.max(requestsInFlight, reportedInFlight);
  return latency * (1 + inFlight / target.slots);
}
