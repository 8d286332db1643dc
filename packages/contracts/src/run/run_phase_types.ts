/** Phase of a run, as seen by its agent. */
export type RunPhase = 'starting' | 'running' | 'stopping';
