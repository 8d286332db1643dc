/** Names one run of a task. */
export interface RunKey {
  readonly task: string;
  readonly run: number;
}
