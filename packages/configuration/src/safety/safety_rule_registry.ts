import {DomainsInServiceRule} from './domains_in_service_rule.js';
import {QuotaCapacityRule} from './quota_capacity_rule.js';
import {RemovalInUseRule} from './removal_in_use_rule.js';
import type {SafetyRule} from './safety_rule_types.js';

/** Every safety rule, in the order in which they are checked. */
export const SAFETY_RULE_REGISTRY: readonly SafetyRule[] = [
  new DomainsInServiceRule(),
  new QuotaCapacityRule(),
  new RemovalInUseRule(),
];
