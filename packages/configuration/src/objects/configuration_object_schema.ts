import * as v from 'valibot';
import {resourcesSchema} from '@chicoryspring/contracts';
import type {ConfigurationObject} from './configuration_object_types.js';

const NAME_PATTERN = /^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$/;
const HASH_PATTERN = /^[0-9a-f]{64}$/;

const name = v.pipe(v.string(), v.regex(NAME_PATTERN));
const share = v.pipe(v.number(), v.minValue(0), v.maxValue(1));
const count = v.pipe(v.number(), v.integer(), v.minValue(1));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));

function object<Kind extends string, Spec extends v.GenericSchema>(
  kind: Kind,
  spec: Spec,
) {
  return v.strictObject({kind: v.literal(kind), name, spec});
}

/** Schema of each kind of configuration object. */
export const configurationObjectSchema: v.GenericSchema<
  unknown,
  ConfigurationObject
> = v.variant('kind', [
  object(
    'FailureDomain',
    v.strictObject({inService: v.boolean(), region: v.optional(name)}),
  ),
  object('Rack', v.strictObject({failureDomain: name})),
  object(
    'Service',
    v.strictObject({tailObjectiveMilliseconds: positive, retryShare: share}),
  ),
  object('TaskClass', v.strictObject({attempts: count})),
  object(
    'Team',
    v.strictObject({quota: resourcesSchema, mayBeUrgent: v.boolean()}),
  ),
  object(
    'Caller',
    v.strictObject({
      team: name,
      role: v.picklist(['caller', 'operator']),
      tokenHash: v.pipe(v.string(), v.regex(HASH_PATTERN)),
      services: v.array(name),
      requestsInProgress: count,
    }),
  ),
  object('Policy', v.strictObject({tailWeight: share, workWeight: share})),
]);
