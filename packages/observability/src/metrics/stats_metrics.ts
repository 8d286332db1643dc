import type {StatsD} from 'hot-shots';
import type {MetricName} from './metric_name_types.js';
import type {Metrics} from './metrics_types.js';

const PREFIX = 'chicoryspring.';
const BUFFER_BYTES = 1_432;

type Tags = Readonly<Record<string, string>>;

/** Sends metrics to a StatsD collector over UDP. */
export class StatsMetrics implements Metrics {
  private constructor(private readonly client: StatsD) {}

  /** Metrics that go to an address; the library loads only now. */
  static async create(
    address: {readonly host: string; readonly port: number},
    globalTags: Tags,
  ): Promise<StatsMetrics> {
    const {StatsD} = await import('hot-shots');
    const client = new StatsD({
      ...address,
      prefix: PREFIX,
      globalTags: {...globalTags},
      maxBufferSize: BUFFER_BYTES,
      // A collector that is away must not disturb the process.
      errorHandler: () => undefined,
    });
    return new StatsMetrics(client);
  }

  increment(name: MetricName, tags: Tags = {}, amount = 1): void {
    this.client.increment(name, amount, {...tags});
  }

  gauge(name: MetricName, value: number, tags: Tags = {}): void {
    this.client.gauge(name, value, {...tags});
  }

  timing(name: MetricName, milliseconds: number, tags: Tags = {}): void {
    this.client.timing(name, milliseconds, {...tags});
  }

  /** Sends what is buffered and closes the socket. */
  async close(): Promise<void> {
    await new Promise<void>(resolve => this.client.close(() => resolve()));
  }
}
