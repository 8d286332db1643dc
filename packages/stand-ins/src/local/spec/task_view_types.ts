/** A task as an entry describes it to a caller. */
export interface TaskView {
  readonly state: string;
  readonly epoch: number;
  readonly worker?: string;
  readonly answer?: string;
}
