import type {Clock} from '@chicoryspring/contracts';
import {
  DeadlineAdmissionPolicy,
  ROUTING_POLICY_REGISTRY,
} from '@chicoryspring/targets';
import type {AgentPeerDirectory} from '../agents/agent_peer_directory.js';
import type {LiveState} from '../live_state/live_state.js';
import type {EntrySettings} from '../settings/entry_settings_types.js';
import {RequestAdmission} from './request_admission.js';
import {RequestDispatcher} from './request_dispatcher.js';

/** Creates the request dispatcher from settings and active configuration. */
export function createDispatcher(
  settings: EntrySettings,
  agents: AgentPeerDirectory,
  live: LiveState,
  clock: Clock,
): RequestDispatcher {
  const {configuration} = live;
  const {failureDomain, routingPolicy} = settings;
  const admission = new RequestAdmission(
    agents,
    ROUTING_POLICY_REGISTRY[routingPolicy](Math.random),
    new DeadlineAdmissionPolicy(),
    clock,
    failureDomain,
    () => configuration.domainsOut,
  );
  const retryShare = (service: string) =>
    configuration.objects('Service').find(one => one.name === service)?.spec
      .retryShare ?? 0;
  return new RequestDispatcher(admission, retryShare, clock);
}
