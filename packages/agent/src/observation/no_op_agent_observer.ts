import {NoOpMetrics, NoOpStateLog} from '@chicoryspring/observability';
import {AgentObserver} from './agent_observer.js';

/** Creates an observer that discards metrics and log lines. */
export function createNoOpAgentObserver(): AgentObserver {
  return new AgentObserver(new NoOpMetrics(), new NoOpStateLog());
}
