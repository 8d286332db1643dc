import * as v from 'valibot';

const row = v.object({
  /** Image of the runs that serve. */
  serving: v.string(),
  /** Image of the filling runs beside them. */
  filling: v.string(),
  /** Growth of the logarithm of the tail, for each processor. */
  harm: v.number(),
});

/** Schema of what was learned of how images disturb each other. */
export const interferenceRowsSchema = v.pipe(v.array(row), v.readonly());
