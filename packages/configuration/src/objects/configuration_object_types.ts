import type {CallerObject} from './caller_object_types.js';
import type {FailureDomainObject} from './failure_domain_object_types.js';
import type {PolicyObject} from './policy_object_types.js';
import type {QueueObject} from './queue_object_types.js';
import type {RackObject} from './rack_object_types.js';
import type {ServiceObject} from './service_object_types.js';
import type {TaskClassObject} from './task_class_object_types.js';
import type {TeamObject} from './team_object_types.js';

/** A named object of the operators' configuration, by kind. */
export type ConfigurationObject =
  | FailureDomainObject
  | RackObject
  | ServiceObject
  | TaskClassObject
  | TeamObject
  | CallerObject
  | PolicyObject
  | QueueObject;
