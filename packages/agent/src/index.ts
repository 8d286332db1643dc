/** The agent of each worker, which also serves the target next to it. */
export {type AgentSettings} from './settings/agent_settings_types.js';
export {AgentProcess} from './process/agent_process.js';
export {createAgentServer} from './process/agent_server.js';
export {AgentObserver} from './observation/agent_observer.js';
export {EntryDiscovery} from './entry_peer/entry_discovery.js';
export {RunAgentProcess} from './process/run_agent_process.js';
export {RunAgent} from './runs/run_agent.js';
export {type RunWorkerClient} from './runs/run_worker_client_types.js';
export {type RunStartAnswer} from './runs/run_start_answer_types.js';
export {type LeaseRenewalAnswer} from './runs/lease_renewal_answer_types.js';
export {type LeaseRenewal} from './runs/lease_renewal_types.js';
