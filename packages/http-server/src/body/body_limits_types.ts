import type {HttpLimits} from '../server/http_limits_types.js';

/** The limits of one body that is read. */
export type BodyLimits = Pick<
  HttpLimits,
  | 'bodyBytes'
  | 'requestMilliseconds'
  | 'bodyWindowMilliseconds'
  | 'bodyWindowBytes'
>;
