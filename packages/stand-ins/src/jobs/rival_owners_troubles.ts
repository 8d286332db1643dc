import type {Clock} from '@chicoryspring/contracts';
import {LeaseTakeovers} from './lease_takeovers.js';
import type {RivalEntry} from './rival_entry_types.js';
import type {RivalOwnersOptions} from './rival_owners_options_types.js';
import {ShardHandovers} from './shard_handovers.js';

function createTakeovers(overestimatesLease: boolean) {
  return (
    entries: readonly RivalEntry[],
    clock: Clock,
    random: () => number,
  ) => {
    const owners = entries.map(({owner}) => owner);
    return new LeaseTakeovers(owners, clock, random, overestimatesLease);
  };
}

const store: RivalOwnersOptions = {
  linkFaultProbability: 0,
  restartProbability: 0,
  occurrencesShare: 0,
  maxClockShiftMilliseconds: 0,
  suspendsEntries: false,
  createOwnershipChanges: createTakeovers(true),
};

const link: RivalOwnersOptions = {
  linkFaultProbability: 0.01,
  restartProbability: 0,
  occurrencesShare: 0.5,
  maxClockShiftMilliseconds: 2_000,
  suspendsEntries: false,
  createOwnershipChanges: createTakeovers(false),
};

const restart: RivalOwnersOptions = {...link, restartProbability: 0.003};

const suspension: RivalOwnersOptions = {
  ...restart,
  suspendsEntries: true,
  createOwnershipChanges: (entries, clock, random) =>
    new ShardHandovers(entries, clock, random),
};

/** Kinds of trouble of a soak; each but the first adds to the one before. */
export const RIVAL_OWNERS_TROUBLES = {
  store,
  link,
  restart,
  suspension,
};
