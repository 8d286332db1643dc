import type {Link, LinkTraffic, PeerDialer} from '@chicoryspring/links';
import type {MemoryNetwork} from './memory_network.js';
import type {NetworkProcess} from './network_process_types.js';

/** Time that it takes to open a link. */
const CONNECT_MILLISECONDS = 20;
const RETRY_MILLISECONDS = 100;
const NO_TRAFFIC: LinkTraffic = {sentBytes: 0, receivedBytes: 0};

/** Keeps one link of a process open over a network in memory. */
export class MemoryDialer implements PeerDialer {
  readonly traffic = NO_TRAFFIC;
  private readonly stopping = new AbortController();
  private current: Link | undefined;

  constructor(
    private readonly network: MemoryNetwork,
    private readonly process: NetworkProcess,
    private readonly url: string,
  ) {}

  get link(): Link | undefined {
    return this.current?.isOpen ? this.current : undefined;
  }

  async run(onConnect: (link: Link) => Promise<void>): Promise<void> {
    const {clock} = this.process;
    const {signal} = this.stopping;
    await clock.sleepUntil(clock.now() + CONNECT_MILLISECONDS, signal);
    while (!signal.aborted) {
      if (!this.link) this.connect(onConnect);
      await clock.sleepUntil(clock.now() + RETRY_MILLISECONDS, signal);
    }
  }

  stop(): void {
    this.stopping.abort();
    this.current?.close();
  }

  private connect(onConnect: (link: Link) => Promise<void>): void {
    const link = this.network.connect(this.process, this.url);
    this.current = link;
    if (link) void onConnect(link).catch(() => link.close());
  }
}
