/** What an agent may start, by the service state of its failure domain. */
export {DomainsOutOfService} from './service/domains_out_of_service.js';
export {StartPermission} from './permission/start_permission.js';
