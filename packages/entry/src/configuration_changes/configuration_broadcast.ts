import {toChicoryspringError, type Clock} from '@chicoryspring/contracts';
import {domainsChangedMethod} from '@chicoryspring/links';
import type {Administration} from '../administration/administration.js';
import type {AgentPeerDirectory} from '../agents/agent_peer_directory.js';
import type {AgentPeer} from '../agents/agent_peer.js';
import type {ConfigurationOrigin} from '../live_state/configuration_origin_types.js';
import type {LiveState} from '../live_state/live_state.js';
import type {EntryObserver} from '../observation/entry_observer.js';

/** Timeout for an agent to confirm a revision. */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 1_000;

interface ConfigurationBroadcastParts {
  readonly administration: Administration;
  readonly agents: AgentPeerDirectory;
  readonly clock: Clock;
  readonly live: LiveState;
  readonly observer: EntryObserver;
}

/** Sends a newer revision to every linked agent at once. */
export function broadcastConfiguration(
  entry: ConfigurationBroadcastParts,
  origin: ConfigurationOrigin,
): void {
  for (const peer of entry.agents.all) void sendConfiguration(entry, peer);
  entry.observer.configurationChanged(origin);
  entry.administration.confirmed.notify();
}

async function sendConfiguration(
  entry: ConfigurationBroadcastParts,
  peer: AgentPeer,
): Promise<void> {
  const {configuration} = entry.live;
  const {worker} = peer.announcement;
  const change = {
    revision: configuration.current.revision,
    domainsOut: configuration.domainsOut,
  };
  const deadline = entry.clock.now() + CONFIRMATION_TIMEOUT_MILLISECONDS;
  try {
    const answer = await peer.link.call(domainsChangedMethod, change, deadline);
    entry.administration.confirmed.confirm(worker, answer.revision);
  } catch (thrown) {
    // The agent gets the revision in the answer to its next heartbeat.
    const {kind, message} = toChicoryspringError(thrown);
    const {stateLog} = entry.observer.telemetry;
    stateLog.change('configuration confirmation failed', {
      worker,
      kind,
      message,
    });
  }
}
