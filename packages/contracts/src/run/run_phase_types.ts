/** Where a run stands, as its agent sees it. */
export type RunPhase = 'starting' | 'running' | 'stopping';
