import {
  BestFitPlacementPolicy,
  LeastLoadedPlacementPolicy,
  RandomPlacementPolicy,
  RoundRobinPlacementPolicy,
  type PlacementPolicy,
} from '@chicoryspring/workers';

type CreatePolicy = (random: () => number) => PlacementPolicy;

/** The baselines of placement. */
export const PLACEMENT_POLICY_REGISTRY: Readonly<Record<string, CreatePolicy>> =
  {
    random: random => new RandomPlacementPolicy(random),
    'round robin': () => new RoundRobinPlacementPolicy(),
    'least loaded': () => new LeastLoadedPlacementPolicy(),
    'best fit': () => new BestFitPlacementPolicy(),
  };
