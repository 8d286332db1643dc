/* global Buffer, URL, clearTimeout, console, performance, setTimeout */
// Starts the project's programs with the commands of deploy/system.toml, on
// loopback addresses, beside stand-ins for the store and the workers.
import {spawn} from 'node:child_process';
import {createWriteStream, mkdtempSync, rmSync, readFileSync} from 'node:fs';
import {Agent, request as httpRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {PlatformStore} from './store.mjs';
import {Tasks, Worker} from './worker.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const HOST = '127.0.0.1';

export const isTrouble = process.env['TROUBLE'] !== '0';

/** What was sent, answered and run, with milliseconds since the start. */
export class Record {
  constructor(folder) {
    this.startedAt = performance.now();
    this.stream = createWriteStream(path.join(folder, 'record.txt'));
    this.entries = [];
  }

  now() {
    return Math.round(performance.now() - this.startedAt);
  }

  add(entry) {
    const timed = {ms: this.now(), ...entry};
    this.entries.push(timed);
    this.stream.write(JSON.stringify(timed) + '\n');
    return timed;
  }

  note(text) {
    this.add({event: 'note', text});
    console.log(text);
  }

  async close() {
    await new Promise(resolve => this.stream.end(resolve));
  }
}

export class Fleet {
  constructor(folder, {entries = 2, workers = 3, behaviourOf, worker = {}}) {
    this.folder = folder;
    this.record = new Record(folder);
    this.entryCount = entries;
    this.workerCount = workers;
    this.workerOptions = worker;
    this.store = new PlatformStore();
    this.tasks = new Tasks(behaviourOf, one => this.record.add(one));
    this.entries = [];
    this.agents = [];
    this.workers = [];
    this.logs = mkdtempSync(path.join(tmpdir(), 'review-'));
    this.pool = new Agent({keepAlive: false});
  }

  async start(configuration) {
    this.store.operatorPut('op/config', configuration);
    this.deploy = readRoles();
    for (let n = 1; n <= this.entryCount; n += 1) {
      const [links, front, ready, metrics] = await freePorts(4);
      this.entries.push({
        name: `edge-z${n}-1`,
        front,
        ready,
        values: {
          node: `edge-z${n}-1`,
          zone: `z${n}`,
          ip: HOST,
          'port_range.0': links,
          'listen.front': `${HOST}:${front}`,
          'listen.ready': `${HOST}:${ready}`,
          'platform.addr': await this.store.listen(`edge-z${n}-1`),
          'limits.link_mbps': '1000.0',
        },
        metrics,
        role: 'entry',
      });
    }
    for (const entry of this.entries) this.launch(entry);
    for (let n = 1; n <= this.workerCount; n += 1) {
      const [control, app] = await freePorts(2);
      const agent = {
        name: `side-${n}`,
        role: 'agent',
        values: {
          node: `side-${n}`,
          'listen.control': `${HOST}:${control}`,
          app: `${HOST}:${app}`,
          'platform.addr': await this.store.listen(`side-${n}`),
        },
      };
      this.agents.push(agent);
      this.launch(agent);
      const extra =
        typeof this.workerOptions === 'function'
          ? this.workerOptions(n)
          : this.workerOptions;
      const worker = new Worker({
        id: `i-${n}`,
        control: `${HOST}:${control}`,
        port: app,
        tasks: this.tasks,
        ...extra,
      });
      this.workers.push(worker);
      await worker.start();
    }
    const deadline = performance.now() + 20_000;
    while (!(await this.areReady())) {
      if (performance.now() > deadline) throw new Error('not ready in 20 s');
      await sleep(100);
    }
    // On the platform, traffic starts 12 s after the machines do.
    await sleep(4_000);
    this.record.note('fleet is ready');
  }

  launch(one) {
    const {run, env} = this.deploy[one.role];
    const fill = text =>
      text.replace(/\{\{([^}]+)\}\}/g, (_, key) => {
        const value = one.values[key];
        if (value === undefined) throw new Error(`no value of ${key}`);
        return String(value);
      });
    const words = run.split(' ').map(fill);
    // All machines are one here, so the metrics get a port of their own.
    const at = words.indexOf('--metrics-port');
    if (at > 0) words[at + 1] = String(one.metrics);
    const [program, ...flags] = words;
    const child = spawn(
      program === 'node' ? process.execPath : program,
      flags,
      {
        cwd: ROOT,
        stdio: ['ignore', 'pipe', 'pipe'],
        env: {PATH: process.env['PATH'], HOME: process.env['HOME'], ...env},
      },
    );
    const log = createWriteStream(path.join(this.logs, `${one.name}.log`), {
      flags: 'a',
    });
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    one.child = child;
    one.isStopping = false;
    child.on('exit', (code, signal) => {
      if (one.child !== child) return;
      const isOwnEnd = !one.isStopping;
      this.record.add({event: 'exit', name: one.name, code, signal, isOwnEnd});
      if (isOwnEnd && !this.isClosing) this.relaunch(one);
    });
    this.record.add({event: 'started', name: one.name});
  }

  /** The platform starts a process again that ended, after a short delay. */
  relaunch(one) {
    setTimeout(() => {
      if (!this.isClosing) this.launch(one);
    }, 500);
  }

  /** SIGKILL; the platform starts it again after `downMs`. */
  async kill(one, downMs) {
    one.isStopping = true;
    this.record.note(`${one.name} gets SIGKILL`);
    one.child.kill('SIGKILL');
    await sleep(downMs);
    this.launch(one);
  }

  /** SIGTERM, and SIGKILL after `graceMs`; then it is started again. */
  async terminate(one, graceMs = 6_000) {
    one.isStopping = true;
    this.record.note(`${one.name} gets SIGTERM`);
    const {child} = one;
    const gone = new Promise(resolve => child.once('exit', resolve));
    child.kill('SIGTERM');
    const killing = setTimeout(() => child.kill('SIGKILL'), graceMs);
    await gone;
    clearTimeout(killing);
    await sleep(500);
    this.launch(one);
  }

  async areReady() {
    const answers = await Promise.all(
      this.entries.map(({ready}) =>
        this.send(ready, 'GET', '/chicoryspring/readyz', {isQuiet: true}),
      ),
    );
    return answers.every(one => one.status === 200);
  }

  /** The entry whose name the owner key of a shard has, as the store has it. */
  get owner() {
    const item = [...this.store.items.values()].find(one =>
      one.key.startsWith('/chicoryspring/live/owners/'),
    );
    const name = item?.value.toString('utf8');
    return this.entries.find(one => one.name === name);
  }

  /** One call of a client; resolves with its status, 0 for no answer. */
  async send(port, method, target, options = {}) {
    const {host = 'h.example', body, waitMs = 3_000, isQuiet = false} = options;
    const sentAt = this.record.now();
    const result = await new Promise(resolve => {
      const headers = {host, 'x-deadline-ms': String(waitMs)};
      if (body) headers['content-type'] = 'application/json';
      const request = httpRequest(
        {host: HOST, port, method, path: target, headers, agent: this.pool},
        response => {
          const chunks = [];
          response.on('data', chunk => chunks.push(chunk));
          response.on('end', () =>
            resolve({
              status: response.statusCode,
              text: Buffer.concat(chunks).toString('utf8'),
            }),
          );
          response.on('error', () => resolve({status: 0, text: ''}));
        },
      );
      request.setTimeout(waitMs, () => request.destroy());
      request.on('error', () => resolve({status: 0, text: ''}));
      request.end(body ? JSON.stringify(body) : undefined);
    });
    if (!isQuiet)
      this.record.add({event: 'call', sentAt, port, method, target, ...result});
    return result;
  }

  /** A client that asks entry after entry, as often as the site's retries. */
  async call(method, target, options = {}) {
    const {tries = 5} = options;
    let result;
    for (let n = 0; n < tries; n += 1) {
      const {front} = this.entries[n % this.entries.length];
      result = await this.send(front, method, target, options);
      if (![0, 429, 502, 503, 504].includes(result.status)) break;
      await sleep(200);
    }
    return result;
  }

  async stop() {
    this.isClosing = true;
    for (const worker of this.workers) if (worker.isUp) worker.crash();
    const all = [...this.entries, ...this.agents];
    for (const one of all) {
      one.isStopping = true;
      one.child?.kill('SIGKILL');
    }
    this.pool.destroy();
    this.store.close();
    await sleep(200);
    await this.record.close();
    if (process.env['KEEP_LOGS']) console.log('logs:', this.logs);
    else rmSync(this.logs, {recursive: true, force: true});
  }
}

export function stateOf({status, text}) {
  if (status !== 200) return `status ${status}`;
  return JSON.parse(text).state;
}

/**
 * Plays a case: exits with 1 if `play` returns a sentence on the broken rule, with
 * 0 if it returns nothing, and with 2 if it throws.
 */
export async function playCase(folder, options, configuration, play) {
  const fleet = new Fleet(folder, options);
  const stop = async code => {
    await fleet.stop().catch(() => undefined);
    process.exit(code);
  };
  const limit = setTimeout(() => {
    console.log('the case took too long');
    void stop(2);
  }, 118_000);
  for (const signal of ['SIGINT', 'SIGTERM'])
    process.on(signal, () => void stop(2));
  try {
    await fleet.start(configuration);
    const broken = await play(fleet, fleet.record);
    fleet.record.note(broken ? `BROKEN: ${broken}` : 'the rule held');
    clearTimeout(limit);
    await stop(broken ? 1 : 0);
  } catch (thrown) {
    console.log('the case could not run:', thrown);
    await stop(2);
  }
}

/** The commands of the roles in deploy/system.toml. */
function readRoles() {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const roles = {};
  let role;
  for (const line of text.split('\n')) {
    const header = /^\[roles\.(\S+)\]/.exec(line);
    if (header) role = roles[header[1]] = {env: {}};
    const run = /^run = "(.*)"/.exec(line);
    if (run && role) role.run = run[1];
    const env = /^env = \{(.*)\}/.exec(line);
    if (!env || !role) continue;
    for (const [, name, value] of env[1].matchAll(/(\w+) = "([^"]*)"/g))
      role.env[name] = value;
  }
  return roles;
}

async function freePorts(count) {
  const servers = [];
  for (let n = 0; n < count; n += 1) {
    const server = createServer();
    await new Promise(resolve => server.listen(0, HOST, resolve));
    servers.push(server);
  }
  const ports = servers.map(server => server.address().port);
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}
