import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {json} from 'node:stream/consumers';
import {sendInPieces} from '@chicoryspring/store/spec/piecewise_body.js';
import {KeySpaceStore} from './key_space_store.js';
import type {StoreEvent} from './store_event_types.js';
import type {StoreFault} from './store_fault_types.js';
import {StoreLeaseTable} from './store_lease_table.js';
import type {StoredValue} from './stored_value_types.js';

const SLOW_MILLISECONDS = 2_000;
const LOST_SHARE = 0.5;
const UNAVAILABLE = 503;

type Body = Readonly<Record<string, unknown>>;
type Answering = (body: Body) => object;

/** The subset of etcd v3's JSON gateway that the system uses, in memory. */
export class StoreStandIn {
  readonly server: Server;
  private readonly keys = new KeySpaceStore();
  private readonly leases = new StoreLeaseTable(id => this.keys.dropLease(id));
  private readonly calls = new Map<string, number>();
  private readonly watches = new Set<ServerResponse>();
  private fault: StoreFault = {fault: 'none'};
  private readonly routes: Readonly<Record<string, Answering>> = {
    '/v3/kv/range': body => this.range(body),
    '/v3/kv/txn': body => this.transact(body),
    '/v3/lease/grant': body => ({ID: this.leases.grant(Number(body['TTL']))}),
    '/v3/lease/keepalive': body => this.keepAlive(body),
    '/v3/lease/revoke': body => this.revoke(body),
    '/calls': () => ({calls: Object.fromEntries(this.calls)}),
    '/faults': body => this.setFault(body as unknown as StoreFault),
  };

  constructor() {
    this.server = createServer((message, response) => {
      this.answer(message, response).catch(() => response.destroy());
    });
  }

  private async answer(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = message.url ?? '';
    const body = message.method === 'GET' ? {} : await json(message);
    const isControl = path === '/faults' || path === '/calls';
    if (isControl) return this.reply(response, path, body as Body);
    this.calls.set(path, (this.calls.get(path) ?? 0) + 1);
    if (this.fault.fault === 'down') return void response.destroy();
    if (this.fault.fault === 'status') return this.refuse(response);
    if (path === '/v3/watch') return this.watch(response, body as Body);
    await this.delay();
    this.reply(response, path, body as Body);
  }

  private refuse(response: ServerResponse): void {
    response.statusCode = this.fault.status ?? UNAVAILABLE;
    response.end('{"error":"refused by a fault"}');
  }

  private async delay(): Promise<void> {
    if (this.fault.fault !== 'slow') return;
    const delay = this.fault.delayMilliseconds ?? SLOW_MILLISECONDS;
    await new Promise(resolve => setTimeout(resolve, delay));
  }

  private reply(response: ServerResponse, path: string, body: Body): void {
    const route = this.routes[path];
    if (!route) {
      response.statusCode = 404;
      response.end('{}');
      return;
    }
    const answer = route(body);
    const share = this.fault.probability ?? LOST_SHARE;
    const isLost = this.fault.fault === 'reply-lost' && Math.random() < share;
    if (isLost && path.startsWith('/v3')) return void response.destroy();
    this.send(response, JSON.stringify(answer));
  }

  private send(response: ServerResponse, text: string): void {
    if (this.fault.fault === 'stalled') {
      response.write(text.slice(0, text.length / 2));
    } else if (this.fault.fault === 'slow-link') {
      void sendInPieces(response, text);
    } else {
      response.end(text);
    }
  }

  /** Misbehaves from now on as the fault says; `none` ends it. */
  setFault(fault: StoreFault): object {
    const wasDown = this.fault.fault === 'down';
    this.fault = fault;
    const isDown = fault.fault === 'down';
    if (isDown) this.leases.suspend();
    else if (wasDown) this.leases.renewAll();
    if (isDown || fault.fault === 'watch-dropped') {
      for (const watch of this.watches) watch.destroy();
    }
    return {};
  }

  private range(body: Body): object {
    const end = body['range_end'];
    const found = this.keys.range(
      decode(body['key']),
      end === undefined ? undefined : decode(end),
    );
    return {header: this.header(), kvs: found.map(encodeValue)};
  }

  private transact(body: Body): object {
    const compare = (body['compare'] ?? []) as readonly Body[];
    const succeeded = compare.every(
      one =>
        this.keys.modRevision(decode(one['key'])) ===
        Number(one['mod_revision'] ?? 0),
    );
    if (succeeded) this.applyAll((body['success'] ?? []) as readonly Body[]);
    return {header: this.header(), succeeded};
  }

  private applyAll(operations: readonly Body[]): void {
    this.keys.apply(change => {
      for (const operation of operations) {
        const put = operation['request_put'] as Body | undefined;
        const removal = operation['request_delete_range'] as Body | undefined;
        if (put) {
          const lease = String(put['lease'] ?? '');
          change.put(decode(put['key']), String(put['value']), lease);
        }
        if (removal) {
          const end = removal['range_end'];
          const last = end === undefined ? undefined : decode(end);
          change.remove(decode(removal['key']), last);
        }
      }
    });
  }

  private keepAlive(body: Body): object {
    const id = String(body['ID']);
    return {result: {ID: id, TTL: String(this.leases.renew(id))}};
  }

  private revoke(body: Body): object {
    this.leases.end(String(body['ID']));
    return {};
  }

  private watch(response: ServerResponse, body: Body): void {
    const create = body['create_request'] as Body;
    const from = decode(create['key']);
    const end = decode(create['range_end']);
    const send = (events: readonly StoreEvent[]) => {
      if (this.fault.fault === 'watch-silent') return;
      const seen = events.filter(one => one.key >= from && one.key < end);
      const result = {header: this.header(), events: seen.map(encodeEvent)};
      response.write(`${JSON.stringify({result})}\n`);
    };
    this.watches.add(response);
    response.flushHeaders();
    send(this.keys.eventsSince(Number(create['start_revision'] ?? 0)));
    const stop = this.keys.listen(send);
    response.on('close', () => {
      stop();
      this.watches.delete(response);
    });
  }

  private header(): object {
    return {revision: String(this.keys.revision)};
  }
}

function decode(text: unknown): string {
  return Buffer.from(String(text), 'base64').toString('utf8');
}

function encodeKey(key: string): string {
  return Buffer.from(key, 'utf8').toString('base64');
}

function encodeValue({key, value, revision}: StoredValue): object {
  return {key: encodeKey(key), value, mod_revision: String(revision)};
}

function encodeEvent(event: StoreEvent): object {
  const {type, key, value, revision} = event;
  const kv = {key: encodeKey(key), value, mod_revision: String(revision)};
  return {type, kv};
}
