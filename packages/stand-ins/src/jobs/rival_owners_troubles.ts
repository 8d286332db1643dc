import type {Clock} from '@chicoryspring/contracts';
import type {JobFleetFixture} from './job_fleet_fixture.js';
import {LeaseTakeovers} from './lease_takeovers.js';
import {RestartingInstances} from './restarting_instances.js';
import type {RivalEntry} from './rival_entry_types.js';
import type {RivalOwnersOptions} from './rival_owners_options_types.js';
import {SeveredTakeovers} from './severed_takeovers.js';
import {ShardHandovers} from './shard_handovers.js';
import {UnansweredWindows} from './unanswered_windows.js';
import type {UnreliableInstancesOptions} from './unreliable_instances_options_types.js';
import {UnreliableInstances} from './unreliable_instances.js';

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

function createRestarting(restartProbability: number) {
  return (fleet: JobFleetFixture, random: () => number) =>
    new RestartingInstances(fleet, random, restartProbability);
}

function createUnreliable(options: UnreliableInstancesOptions = {}) {
  return (fleet: JobFleetFixture, random: () => number) =>
    new UnreliableInstances(fleet, random, options);
}

const store: RivalOwnersOptions = {
  linkFaultProbability: 0,
  createInstances: createRestarting(0),
  occurrencesShare: 0,
  maxClockShiftMilliseconds: 0,
  suspendsEntries: false,
  createOwnershipChanges: createTakeovers(true),
};

const link: RivalOwnersOptions = {
  linkFaultProbability: 0.01,
  createInstances: createRestarting(0),
  occurrencesShare: 0.5,
  maxClockShiftMilliseconds: 2_000,
  suspendsEntries: false,
  createOwnershipChanges: createTakeovers(false),
};

const restart: RivalOwnersOptions = {
  ...link,
  createInstances: createRestarting(0.003),
};

const suspension: RivalOwnersOptions = {
  ...restart,
  suspendsEntries: true,
  createOwnershipChanges: (entries, clock, random) =>
    new ShardHandovers(entries, clock, random),
};

/** The instances harm their links themselves. */
const unansweredTakeover: RivalOwnersOptions = {
  ...link,
  linkFaultProbability: 0,
  createInstances: createUnreliable(),
};

const unansweredWindow: RivalOwnersOptions = {
  ...unansweredTakeover,
  createInstances: (fleet, random) => new UnansweredWindows(fleet, random),
  createOwnershipChanges: (entries, clock, random) =>
    new SeveredTakeovers(entries, clock, random),
};

const unansweredSuspension: RivalOwnersOptions = {
  ...suspension,
  linkFaultProbability: 0,
  createInstances: createUnreliable(),
};

const refusal: RivalOwnersOptions = {
  ...unansweredSuspension,
  createInstances: createUnreliable({refusalProbability: 0.006}),
};

const agentSuspension: RivalOwnersOptions = {
  ...unansweredSuspension,
  createInstances: createUnreliable({suspensionProbability: 0.004}),
};

/**
 * Kinds of trouble of a soak. Of the first four each adds to the one before; the
 * others leave calls to workers unanswered, besides; in the last two paths to
 * workers refuse connections, or agents are suspended, as well.
 */
export const RIVAL_OWNERS_TROUBLES = {
  store,
  link,
  restart,
  suspension,
  unansweredTakeover,
  unansweredWindow,
  unansweredSuspension,
  refusal,
  agentSuspension,
};
