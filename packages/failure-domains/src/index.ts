/** Failure domains: taking them out of service and bringing them back. */
export {StartPermissionStore} from './permission/start_permission_store.js';
