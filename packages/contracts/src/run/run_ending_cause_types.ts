/**
 * Why a run ended: `failed` by its own fault or the worker's, `lapsed` when
 * its lease ran out, `broken` when another member of its gang ended, `alone`
 * when it waited too long for the others.
 */
export type RunEndingCause =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';
