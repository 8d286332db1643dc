import type {ConfigurationFinding} from '../check/configuration_finding_types.js';
import type {ConfigurationChange} from './configuration_change_types.js';
import type {FleetUsage} from './fleet_usage_types.js';
import {SAFETY_RULE_REGISTRY} from './safety_rule_registry.js';

/** Every way in which a well-formed change is unsafe. */
export function checkSafety(
  change: ConfigurationChange,
  usage: FleetUsage,
): readonly ConfigurationFinding[] {
  return SAFETY_RULE_REGISTRY.flatMap(rule => rule.findings(change, usage));
}
