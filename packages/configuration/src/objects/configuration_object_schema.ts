import * as v from 'valibot';
import {resourcesSchema} from '@chicoryspring/contracts';
import {DEFAULT_SETTINGS} from '../defaults/default_settings.js';
import type {ConfigurationObject} from './configuration_object_types.js';

const NAME_PATTERN = /^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$/;
const NAME_RULE =
  'must be a name: 1 to 63 lower-case letters, digits, dots and dashes';
const HASH_PATTERN = /^[0-9a-f]{64}$/;
const HASH_RULE = 'must be a SHA-256 in 64 hexadecimal digits';

const name = v.pipe(v.string(), v.regex(NAME_PATTERN, NAME_RULE));
const hash = v.pipe(v.string(), v.regex(HASH_PATTERN, HASH_RULE));
const share = v.pipe(
  v.number(),
  v.minValue(0, 'must be from 0 to 1'),
  v.maxValue(1, 'must be from 0 to 1'),
);
const positiveInteger = v.pipe(
  v.number(),
  v.integer('must be a whole number'),
  v.minValue(1, 'must be at least 1'),
);
const nonNegativeInteger = v.pipe(
  v.number(),
  v.integer('must be a whole number'),
  v.minValue(0, 'must not be below 0'),
);
const positiveNumber = v.pipe(
  v.number(),
  v.finite('must be finite'),
  v.gtValue(0, 'must be above 0'),
);

const {FailureDomain, Service, TaskClass, Team, Caller, Policy, Queue} =
  DEFAULT_SETTINGS;

function object<Kind extends string, Spec extends v.GenericSchema>(
  kind: Kind,
  spec: Spec,
) {
  return v.strictObject({kind: v.literal(kind), name, spec});
}

/** Schema of each kind of configuration object, with its defaults. */
export const configurationObjectSchema: v.GenericSchema<
  unknown,
  ConfigurationObject
> = v.variant('kind', [
  object(
    'FailureDomain',
    v.strictObject({
      inService: v.optional(v.boolean(), FailureDomain.inService),
      region: v.optional(name),
    }),
  ),
  object('Rack', v.strictObject({failureDomain: name})),
  object(
    'Service',
    v.strictObject({
      tailObjectiveMilliseconds: positiveNumber,
      retryShare: v.optional(share, Service.retryShare),
    }),
  ),
  object(
    'TaskClass',
    v.strictObject({attempts: v.optional(positiveInteger, TaskClass.attempts)}),
  ),
  object(
    'Team',
    v.strictObject({
      quota: resourcesSchema,
      mayBeUrgent: v.optional(v.boolean(), Team.mayBeUrgent),
    }),
  ),
  object(
    'Caller',
    v.strictObject({
      team: name,
      role: v.optional(v.picklist(['caller', 'operator']), Caller.role),
      tokenHash: hash,
      services: v.array(name),
      requestsInProgress: v.optional(
        positiveInteger,
        Caller.requestsInProgress,
      ),
    }),
  ),
  object(
    'Policy',
    v.strictObject({
      tailWeight: v.optional(share, Policy.tailWeight),
      workWeight: v.optional(share, Policy.workWeight),
    }),
  ),
  object(
    'Queue',
    v.strictObject({
      service: name,
      priority: v.optional(nonNegativeInteger, Queue.priority),
      attempts: v.optional(positiveInteger, Queue.attempts),
      slackFactor: v.optional(positiveNumber, Queue.slackFactor),
      objectiveMilliseconds: positiveNumber,
      host: v.optional(v.string()),
      pathPrefix: v.optional(v.string()),
      isAdvised: v.optional(v.boolean(), Queue.isAdvised),
    }),
  ),
]);
