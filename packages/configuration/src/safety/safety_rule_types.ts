import type {ConfigurationFinding} from '../check/configuration_finding_types.js';
import type {ConfigurationChange} from './configuration_change_types.js';
import type {FleetUsage} from './fleet_usage_types.js';

/**
 * A rule that a well-formed change must meet unless the operator overrides it.
 *
 * A rule reports only what the change introduces, never a state that is already
 * in force, so an existing violation doesn't block an unrelated change.
 */
export interface SafetyRule {
  findings(
    change: ConfigurationChange,
    usage: FleetUsage,
  ): readonly ConfigurationFinding[];
}
