import * as v from 'valibot';

const share = v.pipe(v.number(), v.minValue(0), v.maxValue(1));
const positiveInteger = v.pipe(v.number(), v.integer(), v.minValue(1));

/** Schema of the default values, by kind. */
export const defaultSettingsSchema = v.strictObject({
  FailureDomain: v.strictObject({inService: v.boolean()}),
  Service: v.strictObject({retryShare: share}),
  TaskClass: v.strictObject({attempts: positiveInteger}),
  Team: v.strictObject({mayBeUrgent: v.boolean()}),
  Caller: v.strictObject({
    role: v.picklist(['caller', 'operator']),
    requestsInProgress: positiveInteger,
  }),
  Policy: v.strictObject({tailWeight: share, workWeight: share}),
  Queue: v.strictObject({
    priority: v.pipe(v.number(), v.integer(), v.minValue(0)),
    attempts: positiveInteger,
    slackFactor: v.pipe(v.number(), v.gtValue(0)),
    isAdvised: v.boolean(),
  }),
});
