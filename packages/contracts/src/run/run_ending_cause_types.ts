/**
 * Why a run ended: `failed` by its own fault or the worker's, `lapsed` when
 * its lease expired, `broken` when another member of its gang ended, `alone`
 * when it waited too long for the other members.
 */
export type RunEndingCause =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';
