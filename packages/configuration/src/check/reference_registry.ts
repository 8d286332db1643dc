import type {ConfigurationObject} from '../objects/configuration_object_types.js';

type Kind = ConfigurationObject['kind'];

interface Reference {
  readonly field: string;
  readonly kind: Kind;
  readonly names: (object: ConfigurationObject) => readonly string[];
}

function reference<From extends Kind>(
  field: string,
  kind: Kind,
  names: (
    object: Extract<ConfigurationObject, {readonly kind: From}>,
  ) => readonly string[],
): Reference {
  return {field, kind, names: names as Reference['names']};
}

/** Which fields of each kind refer to other objects by name. */
export const REFERENCE_REGISTRY: Readonly<
  Partial<Record<Kind, readonly Reference[]>>
> = {
  Rack: [
    reference<'Rack'>('spec.failureDomain', 'FailureDomain', rack => [
      rack.spec.failureDomain,
    ]),
  ],
  Caller: [
    reference<'Caller'>('spec.team', 'Team', caller => [caller.spec.team]),
    reference<'Caller'>(
      'spec.services',
      'Service',
      caller => caller.spec.services,
    ),
  ],
};
