import type {ConfigurationFinding} from '../check/configuration_finding_types.js';
import type {ConfigurationObject} from '../objects/configuration_object_types.js';
import type {ConfigurationChange} from './configuration_change_types.js';
import type {SafetyRule} from './safety_rule_types.js';

/** A change must not take the last failure domain out of service. */
export class DomainsInServiceRule implements SafetyRule {
  findings(change: ConfigurationChange): readonly ConfigurationFinding[] {
    const isNew = someInService(change.before) && !someInService(change.after);
    if (!isNew) return [];
    const message = 'no failure domain would be left in service';
    return [{object: '', field: '', message, severity: 'unsafe'}];
  }
}

function someInService(objects: readonly ConfigurationObject[]): boolean {
  return objects.some(
    object => object.kind === 'FailureDomain' && object.spec.inService,
  );
}
