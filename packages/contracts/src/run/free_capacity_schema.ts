import * as v from 'valibot';
import type {Resources} from '../resources/resources_types.js';

/** Schema of free capacity, which is negative where a worker is overcommitted. */
export const freeCapacitySchema: v.GenericSchema<unknown, Resources> = v.object(
  {
    processors: v.number(),
    memoryMebibytes: v.number(),
    accelerators: v.number(),
  },
);
