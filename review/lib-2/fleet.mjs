/* global Buffer, URL, setTimeout, clearTimeout, process */
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {StoreStandIn} from './store.mjs';
import {WorkerStandIn} from './worker.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const LINK_KEY = 'links-of-this-fleet-only';
export const SERVICE = 'huvo11a';
export const HOST = 'nony24.example';

export function sleep(milliseconds) {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

const LOWEST_PORT = 10_000;
const PORT_COUNT = 22_000;
/** Scripts that begin at the same time begin at different ports. */
const PORTS_PER_PLAY = 200;
let nextPort = process.pid * PORTS_PER_PLAY;

async function isFree(port) {
  const server = createServer();
  return await new Promise(resolve => {
    server.on('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** A free port below those that the system gives to outgoing connections. */
async function freePort() {
  for (;;) {
    const port = LOWEST_PORT + (nextPort % PORT_COUNT);
    nextPort += 1;
    if (await isFree(port)) return port;
  }
}

/** One request of a client; no answer counts as status 0. */
export function ask(port, method, path, body, milliseconds = 3_000) {
  return new Promise(resolve => {
    const request = httpRequest(
      {
        host: '127.0.0.1',
        port,
        method,
        path,
        agent: false,
        headers: {
          host: HOST,
          'content-type': 'application/json',
          'x-deadline-ms': String(milliseconds),
        },
      },
      response => {
        let text = '';
        response.on('data', chunk => (text += chunk));
        response.on('end', () => finish(response.statusCode, text));
        response.on('error', () => finish(0, ''));
      },
    );
    const timer = setTimeout(() => request.destroy(), milliseconds);
    const finish = (status, text) => {
      clearTimeout(timer);
      let answer = {};
      try {
        answer = JSON.parse(text);
      } catch {
        // No answer, or none that can be read.
      }
      resolve({status, answer});
    };
    request.on('error', () => finish(0, ''));
    request.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

/** The programs as the deploy file starts them, on loopback, and the stand-ins. */
export class Fleet {
  constructor() {
    this.startedAt = Date.now();
    this.lines = [];
    this.processes = new Map();
    this.exits = [];
    this.entries = new Map();
    this.workers = [];
    this.store = new StoreStandIn();
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    // Nothing that was started outlives the play, however that ends.
    process.on('exit', () => this.killAll());
    for (const signal of ['SIGTERM', 'SIGINT'])
      process.on(signal, () => process.exit(2));
  }

  get seconds() {
    return (Date.now() - this.startedAt) / 1_000;
  }

  note(what, fields = {}) {
    const line = `${this.seconds.toFixed(3)} ${what} ${JSON.stringify(fields)}`;
    this.lines.push(line);
  }

  async open(routes) {
    this.storePort = await freePort();
    await this.store.listen(this.storePort);
    this.store.put('op/config', configurationOf(routes));
  }

  async startEntry(name, zone) {
    const known = this.entries.get(name);
    const ports = known?.ports ?? {
      link: await freePort(),
      front: await freePort(),
      ready: await freePort(),
      metrics: await freePort(),
    };
    this.entries.set(name, {ports, zone});
    this.spawn(name, [
      '--max-old-space-size=200',
      'target/entry.cjs',
      ...['--name', name, '--failure-domain', zone],
      ...['--host', '127.0.0.1', '--port', String(ports.link)],
      ...['--front', `127.0.0.1:${ports.front}`],
      ...['--ready', `127.0.0.1:${ports.ready}`],
      ...['--metrics-port', String(ports.metrics)],
      ...['--store', `127.0.0.1:${this.storePort}`],
      ...['--megabits-per-second', '1000.0'],
    ]);
  }

  /** Starts an agent and its worker. */
  async startSide(name, zone, options) {
    const controlPort = await freePort();
    const appPort = await freePort();
    this.spawn(name, [
      '--max-old-space-size=120',
      'target/agent.cjs',
      ...['--name', name, '--control', `127.0.0.1:${controlPort}`],
      ...['--worker', `127.0.0.1:${appPort}`],
      ...['--store', `127.0.0.1:${this.storePort}`],
    ]);
    const worker = new WorkerStandIn({
      id: `i-${name}`,
      service: SERVICE,
      zone,
      appPort,
      controlPort,
      note: (what, fields) => this.note(what, fields),
      ...options,
    });
    worker.side = name;
    this.workers.push(worker);
    await worker.start();
    return worker;
  }

  spawn(name, parameters) {
    const child = spawn('node', parameters, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: this.folder,
        CHICORYSPRING_LINK_KEY: LINK_KEY,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.processes.set(name, child);
    let output = '';
    const read = chunk => {
      output += chunk;
      const end = output.lastIndexOf('\n') + 1;
      for (const line of output.slice(0, end).split('\n'))
        this.read(name, line);
      output = output.slice(end);
    };
    child.stdout.on('data', read);
    child.stderr.on('data', read);
    child.on('exit', (code, signal) => {
      if (this.processes.get(name) !== child) return;
      this.processes.delete(name);
      this.exits.push({name, code, signal, at: this.seconds});
      this.note('process ended by itself', {name, code, signal});
      this.onExit?.(name);
    });
    this.note('process started', {name});
  }

  read(name, line) {
    if (!line) return;
    this.onLine?.(name, line);
    const isPlain = !line.startsWith('{');
    const isKept = isPlain || this.logged?.some(text => line.includes(text));
    if (isKept) this.note(`log of ${name}`, {line: line.slice(0, 400)});
  }

  /** Ends a process at once, as a loss of power of its machine does. */
  kill(name) {
    const child = this.processes.get(name);
    this.processes.delete(name);
    child?.kill('SIGKILL');
    this.note('killed', {name});
  }

  /** Name of the entry that owns the shards. */
  get owner() {
    const item = this.store.items.get('/chicoryspring/live/owners/0000');
    return item && Buffer.from(item.value, 'base64').toString('utf8');
  }

  frontOf(name) {
    return this.entries.get(name).ports.front;
  }

  async waitUntil(what, condition, milliseconds) {
    const until = Date.now() + milliseconds;
    while (Date.now() < until) {
      if (await condition()) return true;
      await sleep(50);
    }
    this.note('not reached', {what});
    return false;
  }

  /** Waits until every entry takes jobs; throws if they don't. */
  async waitUntilReady() {
    const isReady = async ({ports}) => {
      const path = '/chicoryspring/readyz';
      return (await ask(ports.ready, 'GET', path)).status === 200;
    };
    const areReady = async () => {
      const all = [...this.entries.values()];
      const ready = await Promise.all(all.map(isReady));
      return ready.every(Boolean) && this.owner !== undefined;
    };
    if (!(await this.waitUntil('readiness', areReady, 20_000)))
      throw new Error('the fleet is not ready');
  }

  killAll() {
    for (const child of this.processes.values()) {
      child.removeAllListeners('exit');
      child.kill('SIGKILL');
    }
    this.processes.clear();
  }

  async close(recordPath) {
    this.killAll();
    for (const worker of this.workers) await worker.crash();
    this.store.close();
    writeFileSync(recordPath, `${this.lines.join('\n')}\n`);
    rmSync(this.folder, {recursive: true, force: true});
  }
}

function configurationOf(routes) {
  return {
    version: 7,
    routes: routes.map(one => ({
      host: HOST,
      kind: 'mutating',
      timeout_ms: 3_000,
      slo_ms: 1_000,
      priority: 1,
      service: SERVICE,
      attempts: 3,
      slack_factor: 2,
      ...one,
    })),
    services: [
      {
        name: SERVICE,
        health_path: '/healthz',
        max_conns: 64,
        proto: 'h1',
        tls: false,
        cold_s: 0,
        cold_per_s: 0,
        admission_check: true,
        standby: false,
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 262_144,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}
