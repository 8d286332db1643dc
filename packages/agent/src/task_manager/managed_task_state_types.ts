/**
 * State of a managed task.
 *
 * An `uncertain` task may run, since the reply to its start was lost; its
 * capacity stays reserved. An `ended` task no longer runs, but its owner has
 * not yet acknowledged the ending.
 */
export type ManagedTaskState = 'starting' | 'running' | 'uncertain' | 'ended';
