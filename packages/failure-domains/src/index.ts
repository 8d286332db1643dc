/** Failure domains: taking them out of service and bringing them back. */
export {StartPermission} from './permission/start_permission.js';
