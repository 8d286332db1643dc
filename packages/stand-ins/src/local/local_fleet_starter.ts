import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {ProcessGroup} from '../process/process_group.js';
import {exampleConfiguration} from './example_configuration.js';
import type {LocalFleet} from './local_fleet_types.js';
import {localPort} from './local_port.js';
import {STANDARD_LOCAL_OPTIONS} from './standard_local_options.js';
import type {LocalOptions} from './local_options_types.js';

const HOST = '127.0.0.1';
const OPERATOR_TOKEN = 'operator-local-token';
const LINK_KEY = 'local-link-key-0123456789';
const SERVICE = 'records';
const AGENT_PORTS = 100;
const WORKER_PORTS = 300;
const TARGET_PORTS = 500;
const POLL_MILLISECONDS = 50;
const READY_MILLISECONDS = 30_000;
const RACK_SIZE = 3;
/** A domain can be anything; these are the Trust's. */
const DOMAIN_NAMES = ['kinangop', 'ndaragwa', 'kipipiri', 'north', 'south'];

function script(path: string): string {
  return fileURLToPath(new URL(`../${path}`, import.meta.url));
}

const DAEMON = fileURLToPath(
  import.meta.resolve('@chicoryspring/daemon/daemon/daemon_main.js'),
);

/** Starts the stand-ins and the daemons of a local fleet, each a process. */
export class LocalFleetStarter {
  readonly group = new ProcessGroup();
  private readonly domains: readonly string[];

  private readonly options: LocalOptions;

  constructor(given: Partial<LocalOptions>) {
    const options = {...STANDARD_LOCAL_OPTIONS, ...given};
    this.options = {...options, basePort: localPort(options.basePort)};
    this.domains = Array.from(
      {length: options.failureDomains},
      (_, position) => DOMAIN_NAMES[position] ?? `domain-${position + 1}`,
    );
  }

  /** Starts everything; resolves once it serves with the configuration. */
  async start(): Promise<LocalFleet> {
    const storePort = this.options.basePort;
    const storeUrl = `http://${HOST}:${storePort}`;
    const flags = ['--port', String(storePort)];
    const storePid = this.group.start(
      'store',
      script('store/store_main.js'),
      flags,
    );
    await waitFor(() => isAnswering(`${storeUrl}/calls`));
    const entries = this.startEntries(storeUrl);
    const places = this.startPlaces();
    for (const {url} of entries)
      await waitFor(() => isAnswering(`${url}/readyz`));
    const example = exampleConfiguration(this.domains);
    await waitFor(() => publish(entries[0]!.url, example.objects));
    for (const {url} of entries) await waitFor(() => this.isComplete(url));
    return {
      store: {url: storeUrl, pid: storePid},
      entries,
      ...places,
      operatorToken: OPERATOR_TOKEN,
      callerTokens: example.callerTokens,
      exampleTask: {
        kind: 'run',
        taskClass: 'reconcile',
        resources: {processors: 1, memoryMebibytes: 64, accelerators: 0},
        input: JSON.stringify({workMilliseconds: 200, answer: 'reconciled'}),
      },
    };
  }

  /** Stops the daemons before what they depend on. */
  async stop(): Promise<void> {
    const {names} = this.group;
    const starting = (prefix: string) =>
      names.filter(name => name.startsWith(prefix));
    await this.group.stop(starting('target-'));
    await this.group.stop(starting('agent-'));
    await this.group.stop(starting('entry-'));
    await this.group.stop([...starting('worker-'), 'store']);
  }

  private startEntries(storeUrl: string): LocalFleet['entries'] {
    return Array.from({length: this.options.entries}, (_, position) => {
      const name = `entry-${position + 1}`;
      const port = this.options.basePort + 1 + position;
      const flags = {
        name,
        'failure-domain': this.domainOf(position),
        port: String(port),
        'store-url': storeUrl,
        'shard-count': String(this.options.shards),
      };
      const hash = createHash('sha256').update(OPERATOR_TOKEN).digest('hex');
      const variables = {CHICORYSPRING_OPERATOR_TOKEN_HASH: hash};
      const pid = this.startDaemon('entry', name, flags, variables);
      return {name, url: `http://${HOST}:${port}`, pid};
    });
  }

  private startPlaces(): Pick<LocalFleet, 'agents' | 'workers' | 'targets'> {
    const positions = Array.from({length: this.options.workers}, (_, n) => n);
    const workers = positions.map(position => this.startWorker(position));
    const agents = positions.map(position => this.startAgent(position));
    const targets = positions.map(position => this.startTarget(position));
    return {workers, agents, targets};
  }

  private startWorker(position: number): LocalFleet['workers'][number] {
    const name = `worker-${position + 1}`;
    const port = this.options.basePort + WORKER_PORTS + position;
    const flags = ['--port', String(port)];
    const pid = this.group.start(name, script('worker/worker_main.js'), flags);
    return {name, url: `http://${HOST}:${port}`, pid};
  }

  private startAgent(position: number): LocalFleet['agents'][number] {
    const {basePort, entries} = this.options;
    const name = `agent-${position + 1}`;
    const worker = `worker-${position + 1}`;
    const failureDomain = this.domainOf(position);
    const rack = 1 + Math.floor(position / this.domains.length / RACK_SIZE);
    const port = basePort + AGENT_PORTS + position;
    const entryUrls = Array.from(
      {length: entries},
      (_, entry) => `ws://${HOST}:${basePort + 1 + entry}`,
    );
    const flags = {
      worker,
      'failure-domain': failureDomain,
      rack: `${failureDomain}-rack-${rack}`,
      port: String(port),
      'worker-url': `http://${HOST}:${basePort + WORKER_PORTS + position}`,
      'entry-urls': entryUrls.join(','),
      processors: '16',
      'memory-mebibytes': '61440',
      accelerators: '1',
    };
    const pid = this.startDaemon('agent', name, flags, {});
    return {name, worker, failureDomain, url: `http://${HOST}:${port}`, pid};
  }

  private startTarget(position: number): LocalFleet['targets'][number] {
    const {basePort, slots, connections, serviceMilliseconds} = this.options;
    const port = basePort + TARGET_PORTS + position;
    const agentPort = basePort + AGENT_PORTS + position;
    const flags = toFlags({
      port: String(port),
      'agent-url': `http://${HOST}:${agentPort}`,
      service: SERVICE,
      slots: String(slots),
      connections: String(connections),
      'service-milliseconds': String(serviceMilliseconds),
    });
    const name = `target-${position + 1}`;
    const pid = this.group.start(name, script('target/target_main.js'), flags);
    return {service: SERVICE, url: `http://${HOST}:${port}`, pid};
  }

  private startDaemon(
    role: string,
    name: string,
    flags: Readonly<Record<string, string>>,
    variables: Readonly<Record<string, string>>,
  ): number {
    return this.group.start(name, DAEMON, [role, ...toFlags(flags)], {
      ...variables,
      CHICORYSPRING_LINK_KEY: LINK_KEY,
    });
  }

  private domainOf(position: number): string {
    return this.domains[position % this.domains.length]!;
  }

  /** Whether an entry knows the configuration and every target. */
  private async isComplete(url: string): Promise<boolean> {
    const answer = await request(`${url}/v1/status`, {
      headers: {authorization: `Bearer ${OPERATOR_TOKEN}`},
    });
    const status = (await answer.body.json()) as {
      readonly revision: number;
      readonly entries: readonly unknown[];
      readonly workers: readonly {
        readonly announcement: {readonly service?: string};
      }[];
    };
    const serving = status.workers.filter(one => one.announcement.service);
    return (
      status.revision > 0 &&
      status.entries.length === this.options.entries &&
      serving.length === this.options.workers
    );
  }
}

function toFlags(flags: Readonly<Record<string, string>>): readonly string[] {
  return Object.entries(flags).flatMap(([flag, text]) => [`--${flag}`, text]);
}

async function isAnswering(url: string): Promise<boolean> {
  const answer = await request(url);
  await answer.body.dump();
  return answer.statusCode === 200;
}

async function publish(
  url: string,
  objects: readonly object[],
): Promise<boolean> {
  const answer = await request(`${url}/v1/configuration?allowUnsafe=true`, {
    method: 'PUT',
    headers: {authorization: `Bearer ${OPERATOR_TOKEN}`, 'if-match': '0'},
    body: JSON.stringify({objects}),
  });
  const text = await answer.body.text();
  if (answer.statusCode === 200) return true;
  throw new Error(text);
}

/** Asks again until the answer is yes, or fails at the limit. */
async function waitFor(ask: () => Promise<boolean>): Promise<void> {
  const deadline = Date.now() + READY_MILLISECONDS;
  for (;;) {
    const failure = await ask().then(
      isDone => (isDone ? undefined : new Error('the fleet is not ready')),
      thrown => thrown as Error,
    );
    if (!failure) return;
    if (Date.now() >= deadline) throw failure;
    await sleep(POLL_MILLISECONDS);
  }
}
