/** Checkpoint of a task, or the one that all members of a gang share. */
export class TaskCheckpoint {
  private current = '';
  /** Run that made it; 0 for one of a previous owner. */
  private run = 0;

  /** Empty without one. */
  get value(): string {
    return this.current;
  }

  /**
   * Takes over what the durable record has of a task. Earlier releases kept a
   * checkpoint for each member of a gang, of which the first is used.
   */
  restore(value: string): void {
    if (!this.current) this.current = value;
  }

  /** Records what a run has reported, unless a later run made the current one. */
  record(value: string, run: number): void {
    if (!value || run < this.run) return;
    this.current = value;
    this.run = run;
  }
}
