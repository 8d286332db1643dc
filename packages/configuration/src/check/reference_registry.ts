import type {ConfigurationObject} from '../objects/configuration_object_types.js';

type Kind = ConfigurationObject['kind'];

interface Reference {
  /** Field of `spec` whose value is a name or a list of names. */
  readonly field: string;
  /** Kind of the objects that the field refers to. */
  readonly kind: Kind;
}

/** For each kind, the fields that refer to other objects by name. */
export const REFERENCE_REGISTRY: ReadonlyMap<string, readonly Reference[]> =
  new Map<Kind, readonly Reference[]>([
    ['Queue', [{field: 'service', kind: 'Service'}]],
    ['Rack', [{field: 'failureDomain', kind: 'FailureDomain'}]],
    [
      'Caller',
      [
        {field: 'team', kind: 'Team'},
        {field: 'services', kind: 'Service'},
      ],
    ],
  ]);
