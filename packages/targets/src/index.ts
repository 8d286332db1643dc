/** Targets and the routing of checks to them. */
export {type Target} from './target/target_types.js';
export {type RoutingPolicy} from './routing/routing_policy_types.js';
export {LatencyTracker} from './latency/latency_tracker.js';
export {ROUTING_POLICY_REGISTRY} from './routing/routing_policy_registry.js';
export {type RoutingPolicyName} from './routing/routing_policy_name_types.js';
export {type ConcurrencyLimit} from './limits/concurrency_limit_types.js';
export {GradientConcurrencyLimit} from './limits/gradient_concurrency_limit.js';
export {type AdmissionPolicy} from './limits/admission_policy_types.js';
export {DeadlineAdmissionPolicy} from './limits/deadline_admission_policy.js';
export {RetryBudget} from './retries/retry_budget.js';
