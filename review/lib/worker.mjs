/* global Buffer, clearInterval, clearTimeout, performance, setInterval, setTimeout */
// Stand-in for an application worker, as PROTOCOL.md describes it ("Running
// tasks", "Service discovery"). What a task does is given by the test: how long
// it works, how it ends, whether it belongs to a gang or checkpoints itself.
import {createServer, request as httpRequest} from 'node:http';

const HEARTBEAT_MS = 1_100;
const HOLD_MAX_MS = 6_000;
const GANG_MS = 3_000;
const CHECKPOINT_MS = 500;
const RESTORE_MS = 250;
const MAX_LISTED = 500;
const MAX_WAIT_MS = 2_000;
const TICK_MS = 10;

/** What the workers share: the gangs, and what each task is. */
export class Tasks {
  /** `behaviourOf(task, run)`: {workMs, how, gangSize, isCheckpointing} */
  constructor(behaviourOf, record) {
    this.behaviourOf = behaviourOf;
    this.record = record;
    this.gangs = new Map();
  }
}

export class Worker {
  constructor(options) {
    Object.assign(this, {
      service: 's',
      zone: 'z1',
      labels: ['a', 'r1-1'],
      capacity: {cpu: 16_000, mem_mb: 64_000, gpu: 0},
      ...options,
    });
    this.server = undefined;
    this.isUp = false;
  }

  /** Starts a new incarnation, under the same id and at the same address. */
  async start() {
    this.runs = new Map();
    this.endedRuns = new Map();
    this.endings = [];
    this.lastEnding = 0;
    this.fence = 0;
    this.leaseUntil = 0;
    this.seq = 0;
    this.waiters = new Set();
    this.bornAt = performance.now();
    this.born = Date.now();
    this.isUp = true;
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise(resolve =>
      this.server.listen(this.port, '127.0.0.1', resolve),
    );
    this.ticker = setInterval(() => this.tick(), TICK_MS);
    this.beat();
    this.beating = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  /** The worker crashes: it sends nothing, and all that it ran is gone. */
  crash() {
    if (!this.isUp) return;
    this.isUp = false;
    clearInterval(this.ticker);
    clearInterval(this.beating);
    for (const wake of [...this.waiters]) wake();
    this.server.closeAllConnections();
    this.server.close();
    for (const run of this.runs.values()) this.leaveGang(run);
    this.tasks.record({event: 'worker crashed', worker: this.id});
    this.runs.clear();
  }

  get clock() {
    return Math.floor(performance.now() - this.bornAt) + 1_000;
  }

  beat() {
    const body = JSON.stringify({
      service: this.service,
      addr: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      capacity: this.capacity,
      labels: this.labels,
      clock_ms: this.clock,
      seq: ++this.seq,
      born: this.born,
    });
    const [host, port] = this.control.split(':');
    const request = httpRequest({
      host,
      port,
      method: 'PUT',
      path: `/chicoryspring/instances/${this.id}`,
      headers: {'content-type': 'application/json'},
      timeout: 1_000,
    });
    request.on('response', response => response.resume());
    request.on('timeout', () => request.destroy());
    request.on('error', () => undefined);
    request.end(body);
  }

  async serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}');
    const expected = request.headers['x-expect-instance'];
    const call = request.url.split('/')[2];
    if (expected && expected !== this.id) return this.send(response, 421, {});
    const [status, answer] = await this.answer(call, body);
    this.send(response, status, answer);
  }

  async answer(call, body) {
    const fence = body.fence ?? 0;
    if (fence < this.fence) return [409, {reason: 'fence'}];
    this.fence = fence;
    if (call === 'run-start') return this.startRun(body);
    if (call === 'run-stop') return this.stopRun(body);
    if (call === 'hold') return await this.hold(body);
    if (call === 'pace') return [this.runs.has(body.task) ? 200 : 409, {}];
    return [400, {}];
  }

  extend(until) {
    if (!Number.isFinite(until)) return;
    const latest = Math.min(until, this.clock + HOLD_MAX_MS);
    this.leaseUntil = Math.max(this.leaseUntil, latest);
  }

  startRun({task, run, spec, until_ms: until, checkpoint = ''}) {
    const current = this.runs.get(task);
    if (current?.run === run) {
      this.extend(until);
      return [200, {}];
    }
    if (until <= this.clock) return [409, {reason: 'late'}];
    const last = Math.max(this.endedRuns.get(task) ?? 0, current?.run ?? 0);
    this.extend(until);
    if (run <= last) return [409, {reason: 'old'}];
    const what = this.tasks.behaviourOf(task, run);
    if (!this.hasRoom(what)) return [409, {reason: 'room'}];
    const now = performance.now();
    const started = {task, run, what, startedAt: now, doneMs: 0};
    started.saved = checkpoint;
    started.since = what.gangSize ? undefined : now;
    if (checkpoint) {
      started.doneMs = what.progressOf?.(checkpoint) ?? 0;
      started.restoreMs = RESTORE_MS;
    }
    this.runs.set(task, started);
    this.joinGang(started);
    this.tasks.record({
      event: 'start',
      worker: this.id,
      task,
      run,
      ...(checkpoint ? {checkpoint} : {}),
      ...(what.showsSpec ? {spec} : {}),
    });
    this.wake();
    return [200, {}];
  }

  hasRoom({cpu = 0}) {
    const used = [...this.runs.values()].reduce(
      (sum, one) => sum + (one.what.cpu ?? 0),
      0,
    );
    return used + cpu <= this.capacity.cpu;
  }

  stopRun({task, run}) {
    const current = this.runs.get(task);
    if (current && current.run <= run) this.end(current, 'stopped');
    const last = this.endedRuns.get(task) ?? 0;
    this.endedRuns.set(task, Math.max(last, run));
    return [200, {}];
  }

  async hold({until_ms: until, acked_upto: acked = 0, wait_ms: wait = 0}) {
    this.extend(until);
    for (const [number, task, run, how] of this.endings) {
      if (number > acked) continue;
      const event = 'taken note of';
      this.tasks.record({event, worker: this.id, task, run, how});
    }
    this.endings = this.endings.filter(([number]) => number > acked);
    const limit = Math.min(wait, MAX_WAIT_MS);
    if (limit > 0 && this.endings.length === 0) await this.waitForEnd(limit);
    const running = [...this.runs.values()].map(one => [
      one.task,
      one.run,
      one.saved,
      this.percentOf(one),
      one.what.isLasting ? 5 : (one.what.cpu ?? 0),
    ]);
    return [200, {running, ended: this.endings.slice(0, MAX_LISTED)}];
  }

  percentOf(run) {
    if (run.what.isLasting) return run.doneMs > 200 ? 100 : 0;
    return Math.min(99, Math.floor((100 * run.doneMs) / run.what.workMs));
  }

  async waitForEnd(milliseconds) {
    await new Promise(resolve => {
      const wake = () => {
        this.waiters.delete(wake);
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.waiters.add(wake);
    });
  }

  wake() {
    for (const wake of [...this.waiters]) wake();
  }

  tick() {
    if (this.clock >= this.leaseUntil) {
      for (const run of [...this.runs.values()]) this.end(run, 'lapsed');
      return;
    }
    const now = performance.now();
    for (const run of [...this.runs.values()]) {
      if (run.what.gangSize) this.tickGang(run, now);
      if (run.since === undefined || !this.runs.has(run.task)) continue;
      run.doneMs += Math.max(0, now - run.since - (run.restoreMs ?? 0));
      run.restoreMs = Math.max(0, (run.restoreMs ?? 0) - (now - run.since));
      run.since = now;
      this.checkpoint(run);
      if (!run.what.isLasting && run.doneMs >= run.what.workMs)
        this.end(run, run.what.how ?? 'done');
    }
  }

  checkpoint(run) {
    if (!run.what.isCheckpointing) return;
    const step = Math.floor(run.doneMs / CHECKPOINT_MS);
    if (step <= (run.savedStep ?? 0)) return;
    run.savedStep = step;
    run.saved = run.what.checkpointAt(run.doneMs);
  }

  gangOf(run) {
    const key = `${run.task.split('.').slice(0, 3).join('.')}#${run.run}`;
    const {gangs} = this.tasks;
    if (!gangs.has(key)) gangs.set(key, {members: new Map()});
    return gangs.get(key);
  }

  joinGang(run) {
    if (!run.what.gangSize) return;
    const gang = this.gangOf(run);
    gang.members.set(run.task, {worker: this, run});
    if (gang.members.size === run.what.gangSize) gang.since = performance.now();
  }

  /** A member that is gone breaks the others, once the gang was at work. */
  leaveGang(run) {
    if (!run.what.gangSize) return;
    const gang = this.gangOf(run);
    gang.members.delete(run.task);
    gang.isBroken ||= gang.since !== undefined;
  }

  tickGang(run, now) {
    const gang = this.gangOf(run);
    if (gang.isBroken) return this.end(run, 'broken');
    if (gang.since !== undefined) run.since ??= gang.since;
    else if (now - run.startedAt > GANG_MS) this.end(run, 'alone');
  }

  end(run, how) {
    if (this.runs.get(run.task) !== run) return;
    this.runs.delete(run.task);
    const last = this.endedRuns.get(run.task) ?? 0;
    this.endedRuns.set(run.task, Math.max(last, run.run));
    if (how !== 'done') this.leaveGang(run);
    const {task, run: number, saved} = run;
    this.endings.push([++this.lastEnding, task, number, how, saved]);
    this.tasks.record({event: 'end', worker: this.id, task, run: number, how});
    this.wake();
  }

  send(response, status, answer) {
    if (response.destroyed || !this.isUp) return response.destroy();
    const body = {clock_ms: this.clock, born: this.born, ...answer};
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  }
}
