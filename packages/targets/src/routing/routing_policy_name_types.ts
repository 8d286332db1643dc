import type {ROUTING_POLICY_REGISTRY} from './routing_policy_registry.js';

/** Name of a routing policy in the setting. */
export type RoutingPolicyName = keyof typeof ROUTING_POLICY_REGISTRY;
