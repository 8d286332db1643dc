/** The agent beside each target: one for each worker. */
export {type AgentSettings} from './settings/agent_settings_types.js';
export {AgentProcess} from './process/agent_process.js';
export {createAgentServer} from './process/agent_server.js';
export {AgentObserver} from './observation/agent_observer_behaviour.js';
