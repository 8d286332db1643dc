import {fileURLToPath} from 'node:url';
import {setTimeout as sleep} from 'node:timers/promises';
import {Pool, request} from 'undici';
import {LocalFleetStarter} from '@chicoryspring/stand-ins/local/local_fleet_starter.js';
import {localPort} from '@chicoryspring/stand-ins/local/local_port.js';
import type {LocalFleet} from '@chicoryspring/stand-ins/local/local_fleet_types.js';
import type {CapacitySample} from './capacity_sample_types.js';
import {readProcessUsage} from './process_usage_reader.js';

const BASE_PORT = 18_000;
const FIRST_PLACE_PORT = 19_000;
const PORTS_PER_PLACE = 3;
const PLACES_PER_HOST = 50;
const WINDOW_MILLISECONDS = 6_000;
const SETTLE_MILLISECONDS = 3_000;
const MILLISECONDS_PER_SECOND = 1_000;
const CONNECTIONS = 32;
const LINK_KEY = 'local-link-key-0123456789';
const HOST_SCRIPT = fileURLToPath(
  new URL('./place_host_main.js', import.meta.url),
);
const READS = new Set(['/v3/kv/range', '/v3/lease/keepalive', '/v3/watch']);

interface StoreCalls {
  readonly reads: number;
  readonly writes: number;
}

/** Two real entries, one real agent process, and places added in hosts. */
export class CapacityFleet {
  private readonly starter: LocalFleetStarter;
  private fleet: LocalFleet | undefined;
  private pool: Pool | undefined;
  private places = 0;

  constructor(entries: number) {
    this.starter = new LocalFleetStarter({
      entries,
      workers: 1,
      basePort: BASE_PORT,
      shards: 32,
    });
  }

  async start(): Promise<void> {
    this.fleet = await this.starter.start();
    this.pool = new Pool(this.fleet.entries[0]!.url, {
      connections: CONNECTIONS,
    });
  }

  async stop(): Promise<void> {
    await this.pool?.destroy();
    const {names} = this.starter.group;
    await this.starter.group.stop(
      names.filter(name => name.startsWith('places-')),
    );
    await this.starter.stop();
  }

  /** Adds places until there are as many agents as asked for. */
  async growTo(agents: number): Promise<void> {
    while (this.places + 1 < agents) {
      const missing = agents - 1 - this.places;
      this.startHost(Math.min(PLACES_PER_HOST, missing));
    }
    while ((await this.linkedWorkers()) < agents) await sleep(100);
    await sleep(SETTLE_MILLISECONDS);
  }

  /** Rates of each role over one window. */
  async sample(
    variable: string,
    value: number,
  ): Promise<readonly CapacitySample[]> {
    const {entries, agents, store} = this.fleet!;
    const pids = {entry: entries[0]!.pid, agent: agents[0]!.pid};
    const entryBefore = readProcessUsage(pids.entry);
    const agentBefore = readProcessUsage(pids.agent);
    const storeBefore = readProcessUsage(store.pid);
    const callsBefore = await this.storeCalls();
    const started = performance.now();
    await sleep(WINDOW_MILLISECONDS);
    const callsAfter = await this.storeCalls();
    const seconds = (performance.now() - started) / MILLISECONDS_PER_SECOND;
    const rates = (
      role: CapacitySample['role'],
      pid: number,
      before: ReturnType<typeof readProcessUsage>,
    ): CapacitySample => {
      const after = readProcessUsage(pid);
      const used = after.processorMilliseconds - before.processorMilliseconds;
      const bytes = after.transferredBytes - before.transferredBytes;
      const reads = callsAfter.reads - callsBefore.reads;
      const writes = callsAfter.writes - callsBefore.writes;
      return {
        variable,
        value,
        role,
        processorPercent: used / seconds / 10,
        residentMebibytes: after.residentMebibytes,
        bytesPerSecond: bytes / seconds,
        storeReadsPerSecond: reads / seconds,
        storeWritesPerSecond: writes / seconds,
      };
    };
    return [
      rates('entry', pids.entry, entryBefore),
      rates('agent', pids.agent, agentBefore),
      rates('store', store.pid, storeBefore),
    ];
  }

  /** Submits watches, which keep running. */
  async submitWatches(count: number): Promise<void> {
    const task = {...this.fleet!.exampleTask, kind: 'watch', resources: SMALL};
    const body = JSON.stringify(task);
    const send = () => this.post('/v1/tasks', body);
    for (let sent = 0; sent < count; sent += CONNECTIONS) {
      const batch = Math.min(CONNECTIONS, count - sent);
      await Promise.all(Array.from({length: batch}, send));
    }
    await sleep(SETTLE_MILLISECONDS);
  }

  /** Sends one check. */
  async check(): Promise<void> {
    await this.post('/v1/services/records/requests', '{"gauge":"B-17"}');
  }

  /** Submits one short run. */
  async submitRun(): Promise<void> {
    const task = {...this.fleet!.exampleTask, resources: SMALL};
    await this.post('/v1/tasks', JSON.stringify(task));
  }

  private startHost(count: number): void {
    const first = this.places + 1;
    this.places += count;
    const port = localPort(FIRST_PLACE_PORT) + first * PORTS_PER_PLACE;
    const entryUrls = this.fleet!.entries.map(entry =>
      entry.url.replace('http', 'ws'),
    );
    this.starter.group.start(`places-${first}`, HOST_SCRIPT, [
      ...['--first', String(first), '--count', String(count)],
      ...['--base-port', String(port), '--link-key', LINK_KEY],
      ...['--entry-urls', entryUrls.join(',')],
    ]);
  }

  private async linkedWorkers(): Promise<number> {
    const {entries, operatorToken} = this.fleet!;
    const counts = entries.map(async ({url}) => {
      const answer = await request(`${url}/v1/status`, {
        headers: {authorization: `Bearer ${operatorToken}`},
      });
      const status = (await answer.body.json()) as {
        readonly workers: readonly unknown[];
      };
      return status.workers.length;
    });
    return Math.min(...(await Promise.all(counts)));
  }

  private async storeCalls(): Promise<StoreCalls> {
    const answer = await request(`${this.fleet!.store.url}/calls`);
    const {calls} = (await answer.body.json()) as {
      readonly calls: Readonly<Record<string, number>>;
    };
    let reads = 0;
    let writes = 0;
    for (const [path, count] of Object.entries(calls)) {
      if (READS.has(path)) reads += count;
      else writes += count;
    }
    return {reads, writes};
  }

  private async post(path: string, body: string): Promise<void> {
    const token = this.fleet!.callerTokens['rangers'];
    const answer = await this.pool!.request({
      method: 'POST',
      path,
      headers: {
        authorization: `Bearer ${token}`,
        'content-type': 'application/json',
      },
      body,
    });
    const text = await answer.body.text();
    if (answer.statusCode >= 300) throw new Error(`${path}: ${text}`);
  }
}

const SMALL = {processors: 0.05, memoryMebibytes: 16, accelerators: 0};
