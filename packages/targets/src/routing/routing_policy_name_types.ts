import type {ROUTING_POLICY_REGISTRY} from './routing_policy_registry.js';

/** Name of a routing policy, as the setting takes it. */
export type RoutingPolicyName = keyof typeof ROUTING_POLICY_REGISTRY;
