import {jsonAnswer} from '@chicoryspring/http-server';
import type {ShardTable} from '@chicoryspring/shards';
import type {Administration} from '../administration/administration.js';
import type {AgentPeerDirectory} from '../agents/agent_peer_directory.js';
import type {LiveState} from '../live_state/live_state.js';
import type {EntrySettings} from '../settings/entry_settings_types.js';
import {STATUS_CONDITION_REGISTRY} from '../status/status_condition_registry.js';
import type {StatusFacts} from '../status/status_facts_types.js';
import type {EntryRoute} from './entry_route_types.js';

const OK = 200;

interface StatusRoutesParts {
  readonly settings: EntrySettings;
  readonly live: LiveState;
  readonly table: ShardTable;
  readonly agents: AgentPeerDirectory;
  readonly administration: Administration;
  readonly isReady: boolean;
  readonly isDraining: boolean;
  /** Whether the entry is registered under a store lease. */
  readonly isMember: boolean;
}

/** Route of the status of an entry, and of the fleet as it sees it. */
export function createStatusRoutes(
  entry: StatusRoutesParts,
): readonly EntryRoute[] {
  return [
    {
      access: 'operator',
      method: 'GET',
      path: '/v1/status',
      answer: async () => jsonAnswer(OK, statusOf(entry)),
    },
  ];
}

function statusOf(entry: StatusRoutesParts): object {
  const {live, table, agents, settings} = entry;
  const facts = factsOf(entry);
  return {
    entry: settings.name,
    revision: facts.revision,
    domainsOut: facts.domainsOut,
    entries: live.entries,
    shards: table.ownedShards,
    workers: agents.workers,
    isReady: entry.isReady,
    conditions: STATUS_CONDITION_REGISTRY.map(derive => derive(facts)),
  };
}

function factsOf(entry: StatusRoutesParts): StatusFacts {
  const {live, settings, agents} = entry;
  const {name} = settings;
  const knownEntries = live.entries.map(one => one.name);
  return {
    isDraining: entry.isDraining,
    isMember: entry.isMember,
    isStoreFresh: live.remainingFreshMilliseconds > 0,
    revision: live.configuration.current.revision,
    domainsOut: live.configuration.domainsOut,
    knownEntries,
    linkedEntries: knownEntries.filter(
      other =>
        other === name || entry.administration.linkTo(other) !== undefined,
    ),
    shardCount: entry.settings.shardCount,
    ownedShardCount: live.fleet.owners.size,
    workers: agents.workers,
  };
}
