import * as v from 'valibot';
import type {Resources} from './resources_types.js';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));

/** Schema of resources: finite, non-negative amounts. */
export const resourcesSchema: v.GenericSchema<unknown, Resources> =
  v.strictObject({
    processors: amount,
    memoryMebibytes: amount,
    accelerators: v.pipe(amount, v.integer()),
  });
