import type {ConfigurationFinding} from '../check/configuration_finding_types.js';
import type {ConfigurationChange} from './configuration_change_types.js';
import type {FleetUsage} from './fleet_usage_types.js';
import type {SafetyRule} from './safety_rule_types.js';

/** An object that a worker, target or task uses must not be removed. */
export class RemovalInUseRule implements SafetyRule {
  findings(
    change: ConfigurationChange,
    usage: FleetUsage,
  ): readonly ConfigurationFinding[] {
    const kept = new Set(change.after.map(one => `${one.kind}/${one.name}`));
    return change.before
      .map(one => `${one.kind}/${one.name}`)
      .filter(object => usage.objectsInUse.has(object) && !kept.has(object))
      .map(object => ({
        object,
        field: '',
        message: 'is removed while workers, targets or tasks use it',
        severity: 'unsafe' as const,
      }));
  }
}
