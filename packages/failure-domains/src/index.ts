/** Whether an agent may start work, by its failure domain's service state. */
export {StartPermission} from './permission/start_permission.js';
