import * as v from 'valibot';

const row = v.object({
  /** Image of the latency-critical runs. */
  serving: v.string(),
  /** Image of the best-effort runs on the same worker. */
  filling: v.string(),
  /** Increase of the logarithm of the tail latency for each processor. */
  harm: v.number(),
});

/** Schema of the learned interference between images. */
export const interferenceRowsSchema = v.pipe(v.array(row), v.readonly());
