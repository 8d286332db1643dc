import type {InferOutput} from 'valibot';
import type {defaultSettingsSchema} from './default_settings_schema.js';

/** Default values of optional fields, by kind. */
export const DEFAULT_SETTINGS = {
  FailureDomain: {inService: true},
  Service: {retryShare: 0.1},
  TaskClass: {attempts: 3},
  Team: {mayBeUrgent: false},
  Caller: {role: 'caller', requestsInProgress: 64},
  Policy: {tailWeight: 0.5, workWeight: 0.5},
  Queue: {priority: 1, attempts: 2, slackFactor: 2, isAdvised: false},
} as const satisfies InferOutput<typeof defaultSettingsSchema>;
