/* global Buffer, setTimeout, clearTimeout, setInterval, clearInterval */
import {createServer, request as httpRequest} from 'node:http';
import process from 'node:process';

const HOLD_MAX_MILLISECONDS = 6_000;
const BEAT_MILLISECONDS = 1_100;
const MAX_ENDED = 500;
const MAX_WAIT_MILLISECONDS = 2_000;
const LABELS = ['a', 'r1-0'];

function steady() {
  return Number(process.hrtime.bigint() / 1_000_000n);
}

function call(port, method, path, body) {
  return new Promise(resolve => {
    const request = httpRequest(
      {
        host: '127.0.0.1',
        port,
        method,
        path,
        headers: {'content-type': 'application/json'},
        timeout: 1_000,
      },
      response => {
        response.resume();
        response.on('end', () => resolve(response.statusCode));
        response.on('error', () => resolve(0));
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(0));
    request.end(JSON.stringify(body));
  });
}

/**
 * Stand-in for a worker that guards its capacity, as PROTOCOL.md has it.
 *
 * `plan` gives for each start how long it works and how it ends; without an end
 * it lasts. `need` gives the room that a task takes. `note` records what happens.
 */
export class WorkerStandIn {
  constructor(options) {
    this.options = options;
    this.isUp = false;
    this.sockets = new Set();
  }

  get id() {
    return this.options.id;
  }

  /** Begins a life: holds and knows nothing of before. */
  async start() {
    const {appPort} = this.options;
    this.born = Date.now();
    this.zero = steady();
    this.seq = 0;
    this.fence = 0;
    this.runs = new Map();
    this.highest = new Map();
    this.ended = [];
    this.lastEnd = 0;
    this.holding = new Set();
    this.isUp = true;
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    await new Promise(resolve =>
      this.server.listen(appPort, '127.0.0.1', resolve),
    );
    this.beating = setInterval(() => void this.beat(), BEAT_MILLISECONDS);
    void this.beat();
  }

  /** Ends the life without a word; what runs is gone. */
  async crash() {
    if (!this.isUp) return;
    this.isUp = false;
    clearInterval(this.beating);
    for (const run of this.runs.values()) {
      clearTimeout(run.timer);
      this.options.note('gone with its worker', {...this.nameOf(run)});
    }
    clearTimeout(this.leaseTimer);
    this.runs.clear();
    for (const wake of [...this.holding]) wake();
    for (const socket of this.sockets) socket.destroy();
    await new Promise(resolve => this.server.close(resolve));
  }

  get clock() {
    return steady() - this.zero;
  }

  nameOf({task, run}) {
    return {worker: this.id, task, run};
  }

  async beat() {
    if (!this.isUp) return;
    this.seq += 1;
    const {service, zone, capacity, appPort, controlPort} = this.options;
    const path = `/chicoryspring/instances/${this.id}`;
    await call(controlPort, 'PUT', path, {
      service,
      addr: `127.0.0.1:${appPort}`,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      capacity,
      labels: LABELS,
      clock_ms: this.clock,
      seq: this.seq,
      born: this.born,
    });
  }

  async serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString('utf8');
    const body = text ? JSON.parse(text) : {};
    const name = request.url.split('/').at(-1);
    const expected = request.headers['x-expect-instance'];
    const isOther = expected !== undefined && expected !== this.id;
    const answer = isOther ? [421, {}] : await this.answer(name, body);
    if (!this.isUp || response.destroyed) return;
    const [status, content] = answer;
    response.writeHead(status, {'content-type': 'application/json'});
    const {clock, born} = this;
    response.end(JSON.stringify({clock_ms: clock, born, ...content}));
  }

  async answer(name, body) {
    const {fence = 0} = body;
    if (fence < this.fence) return [409, {reason: 'fence'}];
    this.fence = fence;
    if (name === 'run-start') return this.startRun(body);
    if (name === 'run-stop') return this.stopRun(body);
    if (name === 'pace') return [200, {}];
    if (name === 'hold') return await this.hold(body);
    return [400, {}];
  }

  startRun({task, run, spec, until_ms, checkpoint = ''}) {
    const name = {worker: this.id, task, run};
    if (this.runs.get(task)?.run === run) return [200, {}];
    if (until_ms <= this.clock) return [409, {reason: 'late'}];
    this.extend(until_ms);
    if (this.runs.has(task) || run <= (this.highest.get(task) ?? 0))
      return [409, {reason: 'old'}];
    if (!this.hasRoom(task)) {
      this.options.note('no room', name);
      return [409, {reason: 'room'}];
    }
    const {ms, how} = this.options.plan(task, run, spec);
    const timer =
      how === undefined
        ? undefined
        : setTimeout(() => this.end(task, run, how), ms);
    this.runs.set(task, {task, run, timer, saved: checkpoint, at: this.clock});
    this.options.note('start', name);
    this.options.onStart?.(this, task, run);
    return [200, {}];
  }

  hasRoom(task) {
    const {capacity, need} = this.options;
    const used = [...this.runs.keys(), task].map(need);
    return ['cpu', 'mem_mb'].every(
      kind => used.reduce((sum, one) => sum + one[kind], 0) <= capacity[kind],
    );
  }

  stopRun({task, run}) {
    const held = this.highest.get(task) ?? 0;
    if (this.runs.get(task)?.run === run) this.end(task, run, 'stopped');
    else this.highest.set(task, Math.max(held, run));
    return [200, {}];
  }

  end(task, run, how) {
    const found = this.runs.get(task);
    if (!this.isUp || found?.run !== run) return;
    clearTimeout(found.timer);
    this.runs.delete(task);
    this.highest.set(task, Math.max(this.highest.get(task) ?? 0, run));
    this.lastEnd += 1;
    this.ended.push([this.lastEnd, task, run, how, found.saved]);
    this.options.note(how, {worker: this.id, task, run});
    for (const wake of [...this.holding]) wake();
  }

  /** The lease of all that runs never shortens. */
  extend(untilMilliseconds) {
    const latest = this.clock + HOLD_MAX_MILLISECONDS;
    const until = Math.min(untilMilliseconds, latest);
    this.until = Math.max(this.until ?? 0, until);
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => {
      for (const {task, run} of [...this.runs.values()])
        this.end(task, run, 'lapsed');
    }, this.until - this.clock);
  }

  async hold({acked_upto = 0, until_ms, wait_ms = 0}) {
    if (until_ms !== undefined) this.extend(until_ms);
    this.ended = this.ended.filter(([number]) => number > acked_upto);
    if (this.ended.length === 0 && wait_ms > 0)
      await this.nextEnd(Math.min(wait_ms, MAX_WAIT_MILLISECONDS));
    const running = [...this.runs.values()].map(one => [
      one.task,
      one.run,
      one.saved,
      100,
      0,
    ]);
    return [200, {running, ended: this.ended.slice(0, MAX_ENDED)}];
  }

  nextEnd(milliseconds) {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.holding.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.holding.add(wake);
    });
  }
}
