import type {ConfigurationFinding} from '../check/configuration_finding_types.js';
import type {ConfigurationChange} from './configuration_change_types.js';
import type {FleetUsage} from './fleet_usage_types.js';

/**
 * A rule that well-formed changes are held to unless the operator insists.
 *
 * A rule speaks of what a change introduces, never of what is in force.
 */
export interface SafetyRule {
  findings(
    change: ConfigurationChange,
    usage: FleetUsage,
  ): readonly ConfigurationFinding[];
}
