import {ResourcesArithmetic} from '@chicoryspring/contracts';
import type {ConfigurationFinding} from '../check/configuration_finding_types.js';
import type {ConfigurationObject} from '../objects/configuration_object_types.js';
import type {ConfigurationChange} from './configuration_change_types.js';
import type {FleetUsage} from './fleet_usage_types.js';
import type {SafetyRule} from './safety_rule_types.js';

/** A new or changed quota must not exceed the capacity of the known workers. */
export class QuotaCapacityRule implements SafetyRule {
  findings(
    change: ConfigurationChange,
    usage: FleetUsage,
  ): readonly ConfigurationFinding[] {
    const {capacity} = usage;
    if (!capacity) return [];
    const known = new Map(change.before.map(one => [identityOf(one), one]));
    return change.after.flatMap((object, position) => {
      if (object.kind !== 'Team') return [];
      const {quota} = object.spec;
      if (ResourcesArithmetic.fits(quota, capacity)) return [];
      const previous = known.get(identityOf(object));
      const isUnchanged = JSON.stringify(previous) === JSON.stringify(object);
      if (isUnchanged) return [];
      const limit = `${capacity.processors} processors, ${capacity.memoryMebibytes} MiB, ${capacity.accelerators} accelerators`;
      return {
        object: identityOf(object),
        field: 'spec.quota',
        message: `is above the capacity of the known workers: ${limit}`,
        severity: 'unsafe' as const,
        position,
      };
    });
  }
}

function identityOf(object: ConfigurationObject): string {
  return `${object.kind}/${object.name}`;
}
