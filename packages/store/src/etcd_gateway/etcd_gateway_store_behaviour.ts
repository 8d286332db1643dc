import * as v from 'valibot';
import {Pool} from 'undici';
import {ChicoryspringError} from '@chicoryspring/contracts';
import type {StoreChange} from '../store/store_change_types.js';
import type {StoreCondition} from '../store/store_condition_types.js';
import type {StoreLease} from '../store/store_lease_types.js';
import type {StoreOperation} from '../store/store_operation_types.js';
import type {StoreRange} from '../store/store_range_types.js';
import type {StoreTransaction} from '../store/store_transaction_types.js';
import type {Store} from '../store/store_types.js';
import {Base64Codec} from './base64_codec.js';
import {etcdGatewaySchemas} from './etcd_gateway_schemas.js';

/** Longest time that one call may take, in milliseconds. */
const CALL_MILLISECONDS = 2_000;
/** Connections to the store; the watch holds one of them. */
const CONNECTIONS = 8;

/** Errors of a connection that failed before anything was sent. */
const NOT_SENT = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

type CallKind = 'read' | 'write';

/** The store, met through the JSON gateway of etcd v3. */
export class EtcdGatewayStore implements Store {
  private readonly pool: Pool;

  constructor(url: string) {
    this.pool = new Pool(url, {
      connections: CONNECTIONS,
      headersTimeout: CALL_MILLISECONDS,
      connect: {timeout: CALL_MILLISECONDS},
    });
  }

  async readPrefix(prefix: string): Promise<StoreRange> {
    const body = {
      key: Base64Codec.encode(prefix),
      range_end: Base64Codec.encode(Base64Codec.prefixEnd(prefix)),
    };
    const schema = etcdGatewaySchemas.range;
    const answer = await this.call('/v3/kv/range', body, schema, 'read');
    const values = answer.kvs.map(one => ({
      key: Base64Codec.decode(one.key),
      value: Base64Codec.decode(one.value),
      revision: Number(one.mod_revision),
    }));
    return {values, revision: Number(answer.header.revision)};
  }

  async transact(
    conditions: readonly StoreCondition[],
    operations: readonly StoreOperation[],
  ): Promise<StoreTransaction> {
    const body = {
      compare: conditions.map(encodeCondition),
      success: operations.map(encodeOperation),
    };
    const schema = etcdGatewaySchemas.transaction;
    const answer = await this.call('/v3/kv/txn', body, schema, 'write');
    return {
      succeeded: answer.succeeded,
      revision: Number(answer.header.revision),
    };
  }

  async grantLease(seconds: number): Promise<StoreLease> {
    const schema = etcdGatewaySchemas.leaseGrant;
    const body = {TTL: seconds};
    const answer = await this.call('/v3/lease/grant', body, schema, 'write');
    return {id: answer.ID};
  }

  async renewLease(id: string): Promise<boolean> {
    const schema = etcdGatewaySchemas.leaseKeepAlive;
    const path = '/v3/lease/keepalive';
    const answer = await this.call(path, {ID: id}, schema, 'read');
    return Number(answer.result.TTL) > 0;
  }

  async revokeLease(id: string): Promise<void> {
    const schema = etcdGatewaySchemas.leaseRevoke;
    await this.call('/v3/lease/revoke', {ID: id}, schema, 'write');
  }

  async *watch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncGenerator<readonly StoreChange[]> {
    const create = {
      key: Base64Codec.encode(prefix),
      range_end: Base64Codec.encode(Base64Codec.prefixEnd(prefix)),
      start_revision: String(fromRevision),
      progress_notify: true,
    };
    const answer = await this.pool.request({
      method: 'POST',
      path: '/v3/watch',
      body: JSON.stringify({create_request: create}),
      signal,
      bodyTimeout: 0,
    });
    for await (const line of readLines(answer.body)) yield decodeChanges(line);
  }

  /** Closes the connections to the store. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async call<T>(
    path: string,
    body: object,
    schema: v.GenericSchema<unknown, T>,
    kind: CallKind,
  ): Promise<T> {
    try {
      const answer = await this.pool.request({
        method: 'POST',
        path,
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(body),
        bodyTimeout: CALL_MILLISECONDS,
      });
      const value = await answer.body.json();
      if (answer.statusCode === 200) return v.parse(schema, value);
      throw new Error(`status ${answer.statusCode}`);
    } catch (thrown) {
      throw toStoreError(path, kind, thrown);
    }
  }
}

function toStoreError(
  path: string,
  kind: CallKind,
  thrown: unknown,
): ChicoryspringError {
  const code = String((thrown as {readonly code?: unknown}).code);
  const message = `${path}: ${(thrown as Error).message}`;
  const noEffect = kind === 'read' || NOT_SENT.has(code);
  return new ChicoryspringError(
    noEffect ? 'store-unavailable' : 'store-outcome-unknown',
    message,
  );
}

function encodeCondition(condition: StoreCondition): object {
  return {
    key: Base64Codec.encode(condition.key),
    target: 'MOD',
    result: 'EQUAL',
    mod_revision: String(condition.revision),
  };
}

function encodeOperation(operation: StoreOperation): object {
  if (operation.kind === 'delete-range') {
    return {
      request_delete_range: {
        key: Base64Codec.encode(operation.from),
        range_end: Base64Codec.encode(operation.end),
      },
    };
  }
  return {
    request_put: {
      key: Base64Codec.encode(operation.key),
      value: Base64Codec.encode(operation.value),
      ...(operation.lease ? {lease: operation.lease} : {}),
    },
  };
}

function decodeChanges(line: string): readonly StoreChange[] {
  const message = v.parse(etcdGatewaySchemas.watch, JSON.parse(line));
  return message.result.events.map(event => ({
    key: Base64Codec.decode(event.kv.key),
    value:
      event.type === 'DELETE' ? undefined : Base64Codec.decode(event.kv.value),
    revision: Number(event.kv.mod_revision),
  }));
}

async function* readLines(body: AsyncIterable<Buffer>): AsyncGenerator<string> {
  let rest = '';
  for await (const chunk of body) {
    const lines = (rest + chunk.toString('utf8')).split('\n');
    rest = lines.pop() ?? '';
    for (const line of lines) if (line.trim()) yield line;
  }
}
