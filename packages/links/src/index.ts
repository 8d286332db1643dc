/** Connections between the processes of the system. */
export type {Link} from './link/link_types.js';
export type {LinkTraffic} from './link/link_traffic_types.js';
export {sumTraffic} from './link/link_traffic_sum.js';
export {LinkListener} from './listener/link_listener_behaviour.js';
export {LinkDialer} from './dialer/link_dialer_behaviour.js';
export type {LinkMethod} from './method/link_method_types.js';
export {LinkMethodRegistry} from './method/link_method_registry.js';
export {agentAnnounceMethod} from './methods/agent_announce_method.js';
export {agentLoadMethod} from './methods/agent_load_method.js';
export {agentHeartbeatMethod} from './methods/agent_heartbeat_method.js';
export {configurationConfirmMethod} from './methods/configuration_confirm_method.js';
export {domainsChangedMethod} from './methods/domains_changed_method.js';
export {requestDispatchMethod} from './methods/request_dispatch_method.js';
export {taskStartMethod} from './methods/task_start_method.js';
export {taskStopMethod} from './methods/task_stop_method.js';
export {taskRenewMethod} from './methods/task_renew_method.js';
export {taskEndedMethod} from './methods/task_ended_method.js';
export {entryForwardMethod} from './methods/entry_forward_method.js';
