import type {Resources} from './resources_types.js';

/** Arithmetic on resources; each result is a new value. */
export class ResourcesArithmetic {
  static readonly none: Resources = {
    processors: 0,
    memoryMebibytes: 0,
    accelerators: 0,
  };

  static add(left: Resources, right: Resources): Resources {
    return {
      processors: left.processors + right.processors,
      memoryMebibytes: left.memoryMebibytes + right.memoryMebibytes,
      accelerators: left.accelerators + right.accelerators,
    };
  }

  static subtract(left: Resources, right: Resources): Resources {
    return ResourcesArithmetic.add(left, {
      processors: -right.processors,
      memoryMebibytes: -right.memoryMebibytes,
      accelerators: -right.accelerators,
    });
  }

  /** Whether the demand is at most the free amount of each resource. */
  static fits(demand: Resources, free: Resources): boolean {
    return (
      demand.processors <= free.processors &&
      demand.memoryMebibytes <= free.memoryMebibytes &&
      demand.accelerators <= free.accelerators
    );
  }
}
