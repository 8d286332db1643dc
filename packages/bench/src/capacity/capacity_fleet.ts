import {fileURLToPath} from 'node:url';
import {setTimeout as sleep} from 'node:timers/promises';
import {Pool, request} from 'undici';
import {LocalFleetStarter} from '@chicoryspring/stand-ins/local/local_fleet_starter.js';
import {localPort} from '@chicoryspring/stand-ins/local/local_port.js';
import type {LocalFleet} from '@chicoryspring/stand-ins/local/local_fleet_types.js';
import type {CapacitySample} from './capacity_sample_types.js';
import {CapacitySampler} from './capacity_sampler.js';
import type {StoreCalls} from './store_calls_types.js';

const BASE_PORT = 18_000;
const FIRST_HOSTED_PORT = 19_000;
const PORTS_PER_WORKER = 3;
const WORKERS_PER_HOST = 50;
const SETTLE_MILLISECONDS = 3_000;
const CONNECTIONS = 32;
const LINK_KEY = 'local-link-key-0123456789';
const HOST_SCRIPT = fileURLToPath(
  new URL('./worker_host_main.js', import.meta.url),
);
/** Paths of the store's calls that read; a lease renewal counts as a read. */
const READ_PATHS = new Set([
  '/v3/kv/range',
  '/v3/lease/keepalive',
  '/v3/watch',
]);

/**
 * Two real entries and one real agent process, and more workers with real
 * agents in host processes.
 */
export class CapacityFleet {
  private readonly starter: LocalFleetStarter;
  private fleet: LocalFleet | undefined;
  private pool: Pool | undefined;
  private hostedWorkers = 0;

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
      names.filter(name => name.startsWith('workers-')),
    );
    await this.starter.stop();
  }

  /** Adds workers until there are as many agents as asked for. */
  async growTo(agents: number): Promise<void> {
    while (this.hostedWorkers + 1 < agents) {
      const missing = agents - 1 - this.hostedWorkers;
      this.startHost(Math.min(WORKERS_PER_HOST, missing));
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
    const processes = [
      {role: 'entry' as const, pid: entries[0]!.pid},
      {role: 'agent' as const, pid: agents[0]!.pid},
      {role: 'store' as const, pid: store.pid},
    ];
    const sampler = new CapacitySampler(processes, () => this.storeCalls());
    return await sampler.sample(variable, value);
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
    const first = this.hostedWorkers + 1;
    this.hostedWorkers += count;
    const port = localPort(FIRST_HOSTED_PORT) + first * PORTS_PER_WORKER;
    const entryUrls = this.fleet!.entries.map(entry =>
      entry.url.replace('http', 'ws'),
    );
    this.starter.group.start(`workers-${first}`, HOST_SCRIPT, [
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
      if (READ_PATHS.has(path)) reads += count;
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
