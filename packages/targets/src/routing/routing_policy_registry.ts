import {LeastConnectionsRoutingPolicy} from './least_connections_routing_policy.js';
import {PowerOfChoicesRoutingPolicy} from './power_of_choices_routing_policy.js';
import {RandomRoutingPolicy} from './random_routing_policy.js';
import {RoundRobinRoutingPolicy} from './round_robin_routing_policy.js';
import type {RoutingPolicy} from './routing_policy_types.js';

type CreatePolicy = (random: () => number) => RoutingPolicy;

/** Targets drawn from the local domain, and as many from the others. */
const CHOICES = 5;

/** The routing policies by their name in the setting. */
export const ROUTING_POLICY_REGISTRY = {
  'power-of-choices': random =>
    new PowerOfChoicesRoutingPolicy(random, CHOICES),
  'two-choices': random => new PowerOfChoicesRoutingPolicy(random, 2),
  'least-connections': random => new LeastConnectionsRoutingPolicy(random),
  'round-robin': () => new RoundRobinRoutingPolicy(),
  random: random => new RandomRoutingPolicy(random),
} as const satisfies Readonly<Record<string, CreatePolicy>>;
