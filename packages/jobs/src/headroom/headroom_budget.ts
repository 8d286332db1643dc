import type {HeadroomDemand} from './headroom_demand_types.js';
import type {InterferenceLookup} from './interference_lookup_types.js';
import type {SpareHeadroom} from './spare_headroom_types.js';

const FULL_PACE = 100;

/**
 * The headroom that the latency-critical runs of one worker can spare for its
 * best-effort runs.
 *
 * A best-effort run costs each of them its share of the processors times the
 * interference of the pair of images, in proportion to its pace. Budgets are
 * values: a grant makes a new one.
 */
export class HeadroomBudget {
  constructor(
    private readonly spares: readonly SpareHeadroom[],
    private readonly interferenceOf: InterferenceLookup,
  ) {}

  /** Highest pace in percent, 0 to 100, that all latency-critical runs allow. */
  paceOf(demand: HeadroomDemand): number {
    let pace = FULL_PACE;
    for (const {image, headroom, toleratedCost} of this.spares) {
      const cost = this.costOn(image, demand);
      if (cost <= Math.max(toleratedCost, headroom)) continue;
      pace = Math.min(pace, (FULL_PACE * headroom) / cost);
    }
    return pace;
  }

  /** Sum of the headroom that the run costs at full pace. */
  costOf(demand: HeadroomDemand): number {
    return this.spares.reduce(
      (sum, {image}) => sum + this.costOn(image, demand),
      0,
    );
  }

  /** The budget that is left beside the run at a pace in percent. */
  granting(demand: HeadroomDemand, pace: number): HeadroomBudget {
    const spares = this.spares.map(spare => {
      const cost = (this.costOn(spare.image, demand) * pace) / FULL_PACE;
      return {...spare, headroom: Math.max(0, spare.headroom - cost)};
    });
    return new HeadroomBudget(spares, this.interferenceOf);
  }

  /** Headroom that the run at full pace costs a latency-critical run. */
  private costOn(
    latencyCriticalImage: string,
    {image, fullShare}: HeadroomDemand,
  ): number {
    return fullShare * this.interferenceOf(latencyCriticalImage, image);
  }
}
