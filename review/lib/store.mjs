/* global Buffer, URL, clearInterval, clearTimeout, performance, setInterval, setTimeout */
// Stand-in for the platform's store, as PROTOCOL.md describes it ("The
// platform's metadata store"): revisions, leases, transactions, watches.
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

const ANSWER_MS = 4;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const HISTORY_MS = 20_000;
const PREFIX = '/chicoryspring/';

export class PlatformStore {
  constructor() {
    this.items = new Map();
    this.revision = 10;
    this.history = [];
    this.leases = new Map();
    this.nextLease = 1;
    this.waiters = new Set();
    this.firstRevision = this.revision;
    this.servers = new Map();
    this.turnedAway = new Set();
    this.firstCalls = new Map();
    this.ticker = setInterval(() => this.expireLeases(), 20);
  }

  /** Listens for one client, at an address of its own. */
  async listen(client) {
    const server = createServer((request, response) => {
      this.serve(client, request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
    this.servers.set(client, server);
    return `127.0.0.1:${server.address().port}`;
  }

  close() {
    clearInterval(this.ticker);
    for (const server of this.servers.values()) {
      server.closeAllConnections();
      server.close();
    }
  }

  /**
   * Turns clients away and serves the others: their calls get no answer and have
   * no effect. With `revokes`, their leases end at once.
   */
  turnAway(clients, {revokes = false} = {}) {
    this.turnedAway = new Set(clients);
    if (!revokes) return;
    for (const [id, {client}] of [...this.leases])
      if (this.turnedAway.has(client)) this.endLease(id);
  }

  /** Resolves with the next call of a client, before it is answered. */
  async nextCall(client) {
    await new Promise(resolve => this.firstCalls.set(client, resolve));
  }

  serveAll() {
    this.turnedAway = new Set();
  }

  /** A write of the operator; its return is the acknowledgement. */
  operatorPut(key, value) {
    this.apply([{key, value: Buffer.from(JSON.stringify(value))}], []);
  }

  operatorDelete(key) {
    this.apply([], [key]);
  }

  expireLeases() {
    const now = performance.now();
    for (const [id, lease] of [...this.leases])
      if (lease.until <= now) this.endLease(id);
  }

  endLease(id) {
    if (!this.leases.delete(id)) return false;
    const keys = [...this.items.values()]
      .filter(item => item.lease === id)
      .map(item => item.key);
    if (keys.length > 0) this.apply([], keys);
    return true;
  }

  apply(sets, deletions) {
    this.revision += 1;
    const at = performance.now();
    for (const {key, value, lease = 0} of sets) {
      const created = this.items.get(key)?.created ?? this.revision;
      const item = {key, value, rev: this.revision, created, lease};
      this.items.set(key, item);
      this.history.push({at, rev: this.revision, event: item});
    }
    for (const key of deletions) {
      if (!this.items.delete(key)) continue;
      const event = {key, rev: this.revision, removed: true};
      this.history.push({at, rev: this.revision, event});
    }
    while (this.history.length > 0 && this.history[0].at < at - HISTORY_MS) {
      this.firstRevision = this.history.shift().rev;
    }
    for (const wake of [...this.waiters]) wake();
  }

  async serve(client, request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    this.firstCalls.get(client)?.();
    this.firstCalls.delete(client);
    if (this.turnedAway.has(client)) return;
    const text = Buffer.concat(chunks).toString('utf8');
    const body = text ? JSON.parse(text) : {};
    const url = new URL(request.url, 'http://store');
    const [call, id] = url.pathname.slice(PREFIX.length).split('/');
    await sleep(ANSWER_MS);
    const query = url.searchParams;
    if (call === 'kv-watch') return await this.watch(client, query, response);
    const [status, answer] = this.answer(client, call, Number(id), query, body);
    if (this.turnedAway.has(client)) return;
    send(response, status, answer);
  }

  answer(client, call, id, query, body) {
    if (call === 'kv-key') {
      const item = this.items.get(query.get('key'));
      if (!item) return [404, {current_rev: this.revision}];
      return [200, {...encoded(item), current_rev: this.revision}];
    }
    if (call === 'kv-range') return [200, this.range(query)];
    if (call === 'kv-txn') return this.transact(body);
    if (call === 'kv-lease') {
      const ttl = Math.min(600_000, Math.max(1_000, body.ttl_ms));
      const lease = this.nextLease++;
      this.leases.set(lease, {client, ttl, until: performance.now() + ttl});
      return [200, {lease, ttl_ms: ttl}];
    }
    if (call === 'kv-keep') {
      const lease = this.leases.get(id);
      if (!lease) return [404, {}];
      lease.until = performance.now() + lease.ttl;
      return [200, {ttl_ms: lease.ttl}];
    }
    if (call === 'kv-lease-end') return [this.endLease(id) ? 200 : 404, {}];
    return [400, {}];
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
      bytes += item.value.length;
      if (items.length === PAGE_ITEMS) break;
      if (items.length > 0 && bytes > PAGE_BYTES) break;
      items.push(encoded(item));
    }
    const has_more = items.length < keys.length;
    return {items, has_more, current_rev: this.revision};
  }

  transact({expect_rev = [], set_keys = [], delete_keys = []}) {
    const entries = expect_rev.length + set_keys.length + delete_keys.length;
    if (entries > 32) return [400, {}];
    const written = [...set_keys.map(one => one.key), ...delete_keys];
    if (written.some(key => /^(op|servers)\//.test(key))) return [403, {}];
    const holds = expect_rev.every(
      ({key, rev}) => (this.items.get(key)?.rev ?? 0) === rev,
    );
    if (!holds) {
      const items = expect_rev
        .map(({key}) => this.items.get(key))
        .filter(item => item !== undefined);
      return [412, {items: items.map(encoded)}];
    }
    if (set_keys.some(({lease}) => lease && !this.leases.has(lease)))
      return [404, {}];
    const sets = set_keys.map(one => ({
      ...one,
      value: Buffer.from(one.value, 'base64'),
    }));
    if (sets.some(one => one.value.length > 1_048_576)) return [400, {}];
    this.apply(sets, delete_keys);
    return [200, {rev: this.revision}];
  }

  async watch(client, query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const until = performance.now() + Number(query.get('wait_ms') ?? 0);
    if (after < this.firstRevision) return send(response, 410, {});
    for (;;) {
      const events = this.history
        .filter(one => one.rev > after && one.event.key.startsWith(prefix))
        .map(one => (one.event.removed ? one.event : encoded(one.event)));
      const left = until - performance.now();
      if (this.turnedAway.has(client)) return;
      if (events.length > 0 || left <= 0 || response.destroyed) {
        return send(response, 200, {events, current_rev: this.revision});
      }
      await new Promise(resolve => {
        const wake = () => {
          this.waiters.delete(wake);
          response.off('close', wake);
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(wake, left);
        this.waiters.add(wake);
        response.once('close', wake);
      });
    }
  }
}

function encoded(item) {
  return {...item, value: item.value.toString('base64')};
}

function send(response, status, answer) {
  if (response.destroyed) return;
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(answer));
}
