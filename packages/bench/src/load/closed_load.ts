import {Pool} from 'undici';
import type {LoadFigures} from './load_figures_types.js';
import {LoadRecorder} from './load_recorder.js';

const OK = 200;
const WARM_UP_MILLISECONDS = 1_500;

/** A fixed number of clients, each with one request in progress. */
export class ClosedLoad {
  constructor(
    private readonly url: string,
    private readonly authorization: string,
    private readonly service: string,
  ) {}

  /** Runs the clients, after a warm-up that is not recorded. */
  async run(clients: number, milliseconds: number): Promise<LoadFigures> {
    const pool = new Pool(this.url, {connections: clients});
    await this.runOnce(pool, clients, WARM_UP_MILLISECONDS);
    const figures = await this.runOnce(pool, clients, milliseconds);
    await pool.close();
    return figures;
  }

  private async runOnce(
    pool: Pool,
    clients: number,
    milliseconds: number,
  ): Promise<LoadFigures> {
    const recorder = new LoadRecorder();
    const started = performance.now();
    const deadline = started + milliseconds;
    const tasks = Array.from({length: clients}, () =>
      this.runClient(pool, recorder, deadline),
    );
    await Promise.all(tasks);
    return recorder.figures(performance.now() - started);
  }

  private async runClient(
    pool: Pool,
    recorder: LoadRecorder,
    deadline: number,
  ): Promise<void> {
    while (performance.now() < deadline) {
      const sent = performance.now();
      const status = await this.sendCheck(pool);
      recorder.record(performance.now() - sent, status === OK);
    }
  }

  private async sendCheck(pool: Pool): Promise<number> {
    const answer = await pool.request({
      method: 'POST',
      path: `/v1/services/${this.service}/requests`,
      headers: {
        authorization: this.authorization,
        'content-type': 'application/json',
      },
      body: '{"gauge":"B-17","centimetres":-12}',
    });
    await answer.body.dump();
    return answer.statusCode;
  }
}
