import type {StatusCondition} from './status_condition_types.js';
import type {StatusFacts} from './status_facts_types.js';

type Derive = (facts: StatusFacts) => StatusCondition;

function condition(
  type: string,
  isMet: (facts: StatusFacts) => boolean,
  met: readonly [reason: string, message: (facts: StatusFacts) => string],
  unmet: readonly [reason: string, message: (facts: StatusFacts) => string],
): Derive {
  return facts => {
    const isTrue = isMet(facts);
    const [reason, message] = isTrue ? met : unmet;
    return {type, isMet: isTrue, reason, message: message(facts)};
  };
}

function unlinkedEntries(facts: StatusFacts): readonly string[] {
  const {knownEntries, linkedEntries} = facts;
  return knownEntries.filter(name => !linkedEntries.includes(name));
}

function unlinkedWorkers(facts: StatusFacts): readonly string[] {
  return facts.workers
    .filter(worker => !worker.isLinked)
    .map(worker => worker.announcement.worker);
}

/** Functions that derive the conditions of a status from the facts. */
export const STATUS_CONDITION_REGISTRY: readonly Derive[] = [
  condition(
    'Serving',
    facts => !facts.isDraining,
    ['Serving', () => 'the entry takes requests'],
    ['Draining', () => 'the entry is leaving; send requests to another'],
  ),
  condition(
    'StoreConfirmed',
    facts => facts.isStoreFresh,
    ['Fresh', () => 'the newest revision was confirmed with the store'],
    ['Stale', () => 'the store has not answered; no task starts until it does'],
  ),
  condition(
    'Member',
    facts => facts.isMember,
    ['LeaseHeld', () => 'the entry is registered under a store lease'],
    ['LeaseLapsed', () => 'the entry is not registered; check the store'],
  ),
  condition(
    'ConfigurationPublished',
    facts => facts.revision > 0,
    ['InForce', facts => `revision ${facts.revision} is in force`],
    ['Empty', () => 'nothing is published; run chicoryspring apply'],
  ),
  condition(
    'ShardsOwned',
    facts => facts.ownedShardCount === facts.shardCount,
    ['AllOwned', facts => `all ${facts.shardCount} shards have an owner`],
    [
      'SomeUnowned',
      facts =>
        `${facts.shardCount - facts.ownedShardCount} of ${facts.shardCount} shards have no owner; their tasks wait`,
    ],
  ),
  condition(
    'EntriesLinked',
    facts => unlinkedEntries(facts).length === 0,
    ['AllLinked', facts => `${facts.knownEntries.length} entries are known`],
    [
      'SomeUnlinked',
      facts =>
        `no link to ${unlinkedEntries(facts).join(', ')}; check the path`,
    ],
  ),
  condition(
    'AgentsLinked',
    facts => facts.workers.length > 0 && unlinkedWorkers(facts).length === 0,
    ['Linked', facts => `${facts.workers.length} agents are linked`],
    [
      'Missing',
      facts =>
        facts.workers.length === 0
          ? 'no agent is linked; check that agents run and know an entry'
          : `agents of ${unlinkedWorkers(facts).join(', ')} are not linked`,
    ],
  ),
  condition(
    'DomainsInService',
    facts => facts.domainsOut.length === 0,
    ['AllInService', () => 'every failure domain is in service'],
    [
      'SomeOut',
      facts =>
        `${facts.domainsOut.join(', ')} out of service; bring back when ready`,
    ],
  ),
];
