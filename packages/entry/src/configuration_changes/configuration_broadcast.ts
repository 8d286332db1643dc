import {toChicoryspringError} from '@chicoryspring/contracts';
import {domainsChangedMethod} from '@chicoryspring/links';
import type {AgentPeer} from '../agents/agent_peer.js';
import type {EntryProcess} from '../process/entry_process.js';

/** Time in which an agent confirms a revision. */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 1_000;

/** Tells every agent at once that a newer revision is in force. */
export function broadcastConfiguration(entry: EntryProcess): void {
  for (const peer of entry.agents.all) void sendConfiguration(entry, peer);
  entry.observer.configurationChanged();
  entry.administration.confirmed.notify();
}

async function sendConfiguration(
  entry: EntryProcess,
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
    // The agent learns the revision with its next heartbeat.
    const {kind, message} = toChicoryspringError(thrown);
    const {stateLog} = entry.observer.telemetry;
    stateLog.change('configuration not confirmed', {worker, kind, message});
  }
}
