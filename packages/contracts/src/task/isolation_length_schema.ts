import * as v from 'valibot';
import type {IsolationLength} from './isolation_length_types.js';

/** Schema of the length of an isolation. */
export const isolationLengthSchema: v.GenericSchema<unknown, IsolationLength> =
  v.picklist(['brief', 'long']);
