import {setTimeout as sleep} from 'node:timers/promises';
import {Pool} from 'undici';
import {SeededRandom} from '../random/seeded_random.js';
import type {LoadFigures} from './load_figures_types.js';
import {LoadRecorder} from './load_recorder.js';

const OK = 200;
const CONNECTIONS = 256;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Requests that start at random instants, whether earlier ones are answered.
 *
 * Times count from the instant at which a request was due, so that a slow
 * answer delays none of the others.
 */
export class OpenLoad {
  private readonly inFlight = new Set<Promise<void>>();

  constructor(
    private readonly urls: readonly string[],
    private readonly authorization: string,
    private readonly service: string,
    private readonly seed: number,
  ) {}

  /** Sends at the mean rate for the given time, and waits for the answers. */
  async run(perSecond: number, milliseconds: number): Promise<LoadFigures> {
    const random = new SeededRandom(this.seed);
    const pools = this.urls.map(
      url => new Pool(url, {connections: CONNECTIONS}),
    );
    const recorder = new LoadRecorder();
    const started = performance.now();
    const gap = MILLISECONDS_PER_SECOND / perSecond;
    let due = started;
    while (due < started + milliseconds) {
      if (due > performance.now()) await sleep(due - performance.now());
      this.start(random.pick(pools), recorder, due);
      due += random.exponential(gap);
    }
    await Promise.all(this.inFlight);
    const figures = recorder.figures(performance.now() - started);
    await Promise.all(pools.map(pool => pool.close()));
    return figures;
  }

  private start(pool: Pool, recorder: LoadRecorder, due: number): void {
    const sent = this.send(pool)
      .catch(() => 0)
      .then(status => {
        recorder.record(performance.now() - due, status === OK);
        this.inFlight.delete(sent);
      });
    this.inFlight.add(sent);
  }

  private async send(pool: Pool): Promise<number> {
    const answer = await pool.request({
      method: 'POST',
      path: `/v1/services/${this.service}/requests`,
      headers: {authorization: this.authorization},
      body: '{"gauge":"B-17","centimetres":-12}',
    });
    await answer.body.dump();
    return answer.statusCode;
  }
}
