import type {PlacementSite} from './placement_site_types.js';

/** The two fleets of today. */
export const PLACEMENT_SITE_TABLE: readonly PlacementSite[] = [
  {
    name: 'Trust',
    workers: 11,
    failureDomains: 3,
    processors: 16,
    memoryMebibytes: 60_000,
    harmScale: 1,
    weights: {tailWeight: 0.4, workWeight: 0.6},
  },
  {
    name: 'Association',
    workers: 11,
    failureDomains: 4,
    processors: 64,
    memoryMebibytes: 250_000,
    harmScale: 0.25,
    weights: {tailWeight: 0.8, workWeight: 0.2},
  },
];
