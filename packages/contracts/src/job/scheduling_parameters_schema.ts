import * as v from 'valibot';
import type {SchedulingParameters} from './scheduling_parameters_types.js';

/** Schema of scheduling parameters in the store and on links. */
export const schedulingParametersSchema: v.GenericSchema<
  unknown,
  SchedulingParameters
> = v.object({
  service: v.string(),
  priority: v.number(),
  attempts: v.number(),
  slackFactor: v.number(),
  objectiveMilliseconds: v.number(),
});
