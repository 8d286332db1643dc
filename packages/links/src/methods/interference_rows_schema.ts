import * as v from 'valibot';

const row = v.object({
  /** Image of the latency-critical runs. */
  serving: v.string(),
  /** Image of the best-effort runs on the same worker. */
  filling: v.string(),
  /**
   * Headroom that the latency-critical runs lose to best-effort runs which use
   * all processors of the worker; in proportion for a smaller share.
   */
  harm: v.number(),
});

/** Schema of the learned interference between images. */
export const interferenceRowsSchema = v.pipe(v.array(row), v.readonly());
