import type {StatsD} from 'hot-shots';
import type {MetricName} from './metric_name_types.js';
import type {Metrics} from './metrics_types.js';

const NAME_PREFIX = 'chicoryspring.';
/** Fits an Ethernet frame (1,500 bytes) with the IP and UDP headers. */
const MAX_DATAGRAM_BYTES = 1_432;

type Tags = Readonly<Record<string, string>>;

/** Sends metrics to a StatsD collector over UDP. */
export class StatsMetrics implements Metrics {
  private constructor(private readonly client: StatsD) {}

  /** Opens a client for the address; imports the library only when called. */
  static async create(
    address: {readonly host: string; readonly port: number},
    globalTags: Tags,
  ): Promise<StatsMetrics> {
    const {StatsD} = await import('hot-shots');
    const client = new StatsD({
      ...address,
      prefix: NAME_PREFIX,
      globalTags: {...globalTags},
      maxBufferSize: MAX_DATAGRAM_BYTES,
      // An unreachable collector must not fail the process.
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

  /** Flushes the buffer and closes the socket. */
  async close(): Promise<void> {
    await new Promise<void>(resolve => this.client.close(() => resolve()));
  }
}
