import {SilentMetrics, SilentStateLog} from '@chicoryspring/observability';
import {AgentObserver} from './agent_observer.js';

/** An observer that tells nobody. */
export function createSilentObserver(): AgentObserver {
  return new AgentObserver(new SilentMetrics(), new SilentStateLog());
}
