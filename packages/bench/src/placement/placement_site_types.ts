import type {PlacementWeights} from '@chicoryspring/workers';

/** A user's fleet of today, and what the user weighs. */
export interface PlacementSite {
  readonly name: string;
  readonly workers: number;
  readonly failureDomains: number;
  readonly processors: number;
  readonly memoryMebibytes: number;
  /** Factor on the harm of one task; less where more tasks run. */
  readonly harmScale: number;
  readonly weights: PlacementWeights;
}
