/** Targets and the routing of checks to them. */
export type {Target} from './target/target_types.js';
export type {RoutingPolicy} from './routing/routing_policy_types.js';
export {TwoChoicesRoutingPolicy} from './routing/two_choices_routing_policy.js';
