/**
 * Why a run ended: `done` when its work is complete, `stopped` on request,
 * `failed` by its own fault or the worker's, `lapsed` when its lease expired,
 * `broken` when another member of its gang ended, `alone` when it waited too
 * long for the other members.
 */
export type RunEndingCause =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';
