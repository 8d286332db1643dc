import {NoOpMetrics, NoOpStateLog} from '@chicoryspring/observability';
import {AgentObserver} from './agent_observer.js';

/** An observer that tells nobody. */
export function createNoOpAgentObserver(): AgentObserver {
  return new AgentObserver(new NoOpMetrics(), new NoOpStateLog());
}
