import type {ConfigurationFinding} from '../check/configuration_finding_types.js';
import type {ConfigurationChange} from './configuration_change_types.js';
import type {FleetUsage} from './fleet_usage_types.js';
import {SAFETY_RULE_REGISTRY} from './safety_rule_registry.js';

/** Returns the findings of every safety rule for a well-formed change. */
export function checkSafety(
  change: ConfigurationChange,
  usage: FleetUsage,
): readonly ConfigurationFinding[] {
  return SAFETY_RULE_REGISTRY.flatMap(rule => rule.findings(change, usage));
}
