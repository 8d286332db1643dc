import type {Target} from '../target/target_types.js';
import type {RoutingPolicy} from './routing_policy_types.js';

/** Factor by which a target of another domain has to be better. */
const SPILL_FACTOR = 1.25;
/** Latency that stands for none known yet, in milliseconds. */
const UNKNOWN_LATENCY_MILLISECONDS = 1;

/**
 * The best of some random targets, by recent latency and requests in flight.
 *
 * It draws as many targets from the local failure domain as from the others;
 * one of another domain has to be clearly better, so that requests spill over
 * before a queue hurts, and not earlier. A target without a recent answer gets
 * one request at a time, so that a new or returned target is not stampeded.
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

  /** The cheapest of the drawn targets. */
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

/** Expected time of one more request there. */
function costOf(target: Target): number {
  const {latencyMilliseconds, requestsInFlight, reportedInFlight} = target;
  const isUnknown = latencyMilliseconds === undefined;
  if (isUnknown && requestsInFlight > 0) return Infinity;
  const latency = latencyMilliseconds ?? UNKNOWN_LATENCY_MILLISECONDS;
  const inFlight = Math.max(requestsInFlight, reportedInFlight);
  return latency * (1 + inFlight / target.slots);
}
