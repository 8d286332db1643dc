import {Pool} from 'undici';

/** A caller whose clients repeat at once, without pause, until stopped. */
export class StormLoad {
  private readonly stopping = new AbortController();
  private answers = 0;
  private refusals = 0;

  constructor(
    private readonly url: string,
    private readonly authorization: string,
    private readonly service: string,
  ) {}

  /** Answers with status 200 and others, while it ran. */
  get counts(): {readonly answers: number; readonly refusals: number} {
    return {answers: this.answers, refusals: this.refusals};
  }

  /** Runs the clients; resolves once the storm was stopped. */
  async run(clients: number): Promise<void> {
    const pool = new Pool(this.url, {connections: clients});
    const tasks = Array.from({length: clients}, () => this.runClient(pool));
    await Promise.all(tasks);
    await pool.close();
  }

  stop(): void {
    this.stopping.abort();
  }

  private async runClient(pool: Pool): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const answer = await pool.request({
        method: 'POST',
        path: `/v1/services/${this.service}/requests`,
        headers: {authorization: this.authorization},
        body: 'again',
      });
      await answer.body.dump();
      if (answer.statusCode === 200) this.answers += 1;
      else this.refusals += 1;
    }
  }
}
