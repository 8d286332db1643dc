/** Runs the steps that concern one task one after another. */
export class TaskTurns {
  private readonly last = new Map<string, Promise<unknown>>();

  /** Runs a step once the earlier steps of the same task are done. */
  async take<Result>(
    taskId: string,
    step: () => Promise<Result>,
  ): Promise<Result> {
    const before = this.last.get(taskId) ?? Promise.resolve();
    const turn = before.catch(() => undefined).then(step);
    this.last.set(taskId, turn);
    try {
      return await turn;
    } finally {
      if (this.last.get(taskId) === turn) this.last.delete(taskId);
    }
  }
}
