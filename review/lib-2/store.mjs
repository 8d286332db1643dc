/* global Buffer, URL, setTimeout, clearTimeout */
import {createServer} from 'node:http';
import process from 'node:process';

const HISTORY_MILLISECONDS = 20_000;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const ANSWER_MILLISECONDS = 4;

function now() {
  return Number(process.hrtime.bigint() / 1_000_000n);
}

function readBody(request) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
    request.on('error', reject);
  });
}

/**
 * Stand-in for the platform's store, as PROTOCOL.md has it. Values are kept as
 * base64 text.
 */
export class StoreStandIn {
  constructor() {
    this.items = new Map();
    this.leases = new Map();
    this.history = [];
    this.waiting = new Set();
    this.rev = 1;
    this.oldestRev = 0;
    this.nextLease = 70_000;
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  async listen(port) {
    await new Promise(resolve =>
      this.server.listen(port, '127.0.0.1', resolve),
    );
  }

  close() {
    for (const lease of this.leases.values()) clearTimeout(lease.timer);
    for (const wake of this.waiting) wake();
    this.server.closeAllConnections();
    this.server.close();
  }

  /** What the operator writes; the answer of the store is the acknowledgement. */
  put(key, value) {
    this.rev += 1;
    this.set(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.wake();
  }

  remove(key) {
    this.rev += 1;
    this.drop(key);
    this.wake();
  }

  async serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, , name, id] = url.pathname.split('/');
    const text = await readBody(request);
    const body = text ? JSON.parse(text) : {};
    const answer = await this.answer(name, id, url.searchParams, body, request);
    if (!answer) return;
    const [status, content] = answer;
    setTimeout(() => {
      if (response.destroyed) return;
      response.writeHead(status, {'content-type': 'application/json'});
      response.end(JSON.stringify(content));
    }, ANSWER_MILLISECONDS);
  }

  async answer(name, id, query, body, request) {
    if (name === 'kv-key') return this.key(query.get('key'));
    if (name === 'kv-range') return this.range(query);
    if (name === 'kv-watch') return await this.watch(query, request);
    if (name === 'kv-txn') return this.transact(body);
    if (name === 'kv-lease') return this.grant(body);
    if (name === 'kv-keep') return this.keep(id);
    if (name === 'kv-lease-end') return this.endLease(Number(id));
    return [400, {}];
  }

  key(key) {
    const item = this.items.get(key);
    return item ? [200, {...item, current_rev: this.rev}] : [404, {}];
  }

  range(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = [...this.items.keys()]
      .filter(key => key.startsWith(prefix) && key > after)
      .sort();
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const item = this.items.get(key);
      if (items.length === PAGE_ITEMS) break;
      if (items.length > 0 && bytes + item.value.length > PAGE_BYTES) break;
      bytes += item.value.length;
      items.push(item);
    }
    const has_more = items.length < keys.length;
    return [200, {items, has_more, current_rev: this.rev}];
  }

  async watch(query, request) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after') ?? 0);
    const until = now() + Number(query.get('wait_ms') ?? 0);
    for (;;) {
      if (after < this.oldestRev) return [410, {}];
      const events = this.history
        .filter(one => one.rev > after && one.key.startsWith(prefix))
        .map(one => one.event);
      const left = until - now();
      if (events.length > 0 || left <= 0)
        return [200, {events, current_rev: this.rev}];
      if (request.destroyed) return undefined;
      await this.nextChange(left);
    }
  }

  nextChange(milliseconds) {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, milliseconds);
      this.waiting.add(wake);
    });
  }

  transact({expect_rev = [], set_keys = [], delete_keys = []}) {
    const count = expect_rev.length + set_keys.length + delete_keys.length;
    if (count > 32) return [400, {}];
    const keys = [...set_keys.map(one => one.key), ...delete_keys];
    if (keys.some(key => /^(op|servers)\//.test(key))) return [403, {}];
    const differs = expect_rev.some(
      ({key, rev}) => (this.items.get(key)?.rev ?? 0) !== rev,
    );
    if (differs) {
      const items = expect_rev.flatMap(({key}) => this.items.get(key) ?? []);
      return [412, {items}];
    }
    const lacksLease = set_keys.some(
      ({lease}) => lease && !this.leases.has(lease),
    );
    if (lacksLease) return [404, {}];
    if (keys.length > 0) this.rev += 1;
    for (const {key, value, lease} of set_keys) this.set(key, value, lease);
    for (const key of delete_keys) this.drop(key);
    this.wake();
    return [200, {rev: this.rev}];
  }

  grant({ttl_ms}) {
    const id = (this.nextLease += 1);
    this.leases.set(id, {ttl: ttl_ms, timer: undefined});
    this.extend(id);
    return [200, {lease: id, ttl_ms}];
  }

  keep(text) {
    const id = Number(text);
    const lease = this.leases.get(id);
    if (!lease) return [404, {}];
    this.extend(id);
    return [200, {ttl_ms: lease.ttl}];
  }

  extend(id) {
    const lease = this.leases.get(id);
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.endLease(id), lease.ttl);
  }

  endLease(id) {
    const lease = this.leases.get(id);
    if (!lease) return [404, {}];
    clearTimeout(lease.timer);
    this.leases.delete(id);
    const keys = [...this.items.values()].filter(one => one.lease === id);
    if (keys.length > 0) this.rev += 1;
    for (const {key} of keys) this.drop(key);
    this.wake();
    return [200, {}];
  }

  set(key, value, lease = 0) {
    const {rev} = this;
    const created = this.items.get(key)?.created ?? rev;
    const item = {key, value, rev, created, lease};
    this.items.set(key, item);
    this.history.push({key, rev, at: now(), event: item});
  }

  drop(key) {
    if (!this.items.delete(key)) return;
    const {rev} = this;
    const event = {key, rev, removed: true};
    this.history.push({key, rev, at: now(), event});
  }

  wake() {
    const limit = now() - HISTORY_MILLISECONDS;
    while (this.history.length > 0 && this.history[0].at < limit)
      this.oldestRev = this.history.shift().rev;
    for (const wake of [...this.waiting]) wake();
  }
}
