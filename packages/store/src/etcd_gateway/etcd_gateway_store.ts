import * as v from 'valibot';
import {Pool} from 'undici';
import {
  ChicoryspringError,
  SystemClock,
  type Clock,
} from '@chicoryspring/contracts';
import {AnswerTransfer} from '../answer/answer_transfer.js';
import {CallBudget} from '../budget/call_budget.js';
import {CallCounts} from '../budget/call_counts.js';
import type {StoreChange} from '../store/store_change_types.js';
import type {StoreCondition} from '../store/store_condition_types.js';
import type {StoreLease} from '../store/store_lease_types.js';
import type {StoreOperation} from '../store/store_operation_types.js';
import type {StoreRange} from '../store/store_range_types.js';
import type {StoreTransaction} from '../store/store_transaction_types.js';
import type {Store} from '../store/store_types.js';
import {Base64Codec} from './base64_codec.js';
import {hasNoEffect} from './call_failure_table.js';
import {StoreStatusError} from './store_status_error.js';
import {etcdGatewaySchemas} from './etcd_gateway_schemas.js';

/** Default of the maximum time in which a call makes no progress. */
const CALL_TIMEOUT_MILLISECONDS = 2_000;
/** Size of the connection pool; a watch occupies one connection. */
const CONNECTIONS = 8;
/** Rate limit of one process: steady rate and burst. */
const CALLS_PER_SECOND = 200;
const CALL_BURST = 200;
const OK = 200;
const MILLISECONDS_PER_SECOND = 1_000;
/** etcd's default limit of operations in a transaction. */
const MAX_TRANSACTION_SIZE = 128;

type CallKind =
  'read' | 'transact' | 'lease-grant' | 'lease-renew' | 'lease-revoke';

/** Client of an etcd v3 store through its JSON gateway. */
export class EtcdGatewayStore implements Store {
  private readonly pool: Pool;
  readonly maxTransactionSize = MAX_TRANSACTION_SIZE;
  private readonly budget = new CallBudget(CALLS_PER_SECOND, CALL_BURST);
  private readonly counts = new CallCounts();

  constructor(
    url: string,
    private readonly callTimeoutMilliseconds = CALL_TIMEOUT_MILLISECONDS,
    /** Maximum time that the rate limit may delay a call, in milliseconds. */
    private readonly maxBudgetWaitMilliseconds = callTimeoutMilliseconds,
    private readonly clock: Clock = new SystemClock(),
  ) {
    this.pool = new Pool(url, {
      connections: CONNECTIONS,
      connect: {timeout: callTimeoutMilliseconds},
    });
  }

  /** Number of calls by kind and result. */
  get callCounts(): ReadonlyMap<string, number> {
    return this.counts.all;
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
    const answer = await this.call('/v3/kv/txn', body, schema, 'transact');
    return {
      succeeded: answer.succeeded,
      revision: Number(answer.header.revision),
    };
  }

  async grantLease(milliseconds: number): Promise<StoreLease> {
    const schema = etcdGatewaySchemas.leaseGrant;
    const body = {TTL: Math.ceil(milliseconds / MILLISECONDS_PER_SECOND)};
    const answer = await this.call(
      '/v3/lease/grant',
      body,
      schema,
      'lease-grant',
    );
    return {id: answer.ID};
  }

  async renewLease(id: string): Promise<boolean> {
    const schema = etcdGatewaySchemas.leaseKeepAlive;
    const path = '/v3/lease/keepalive';
    const answer = await this.call(path, {ID: id}, schema, 'lease-renew');
    return Number(answer.result.TTL) > 0;
  }

  async revokeLease(id: string): Promise<void> {
    const schema = etcdGatewaySchemas.leaseRevoke;
    await this.call('/v3/lease/revoke', {ID: id}, schema, 'lease-revoke');
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
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.counts.add('watch', 'answered');
    for await (const line of readLines(answer.body)) yield decodeChanges(line);
  }

  /** Closes the connections to the store and aborts calls in flight. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async call<T>(
    path: string,
    body: object,
    schema: v.GenericSchema<unknown, T>,
    kind: CallKind,
  ): Promise<T> {
    await this.waitForBudget(kind);
    try {
      const value = await this.post(path, body);
      this.counts.add(kind, 'answered');
      return v.parse(schema, value);
    } catch (thrown) {
      this.counts.add(kind, 'failed');
      throw toStoreError(path, kind, thrown);
    }
  }

  /**
   * Waits until the rate limit admits the call, or rejects the call unsent when
   * the wait would be too long. Lease renewals are exempt.
   */
  private async waitForBudget(kind: CallKind): Promise<void> {
    if (kind === 'lease-renew') return;
    const now = this.clock.now();
    const wait = this.budget.reserve(now, this.maxBudgetWaitMilliseconds);
    if (wait === undefined) {
      this.counts.add(kind, 'refused');
      const message = `${kind}: the rate limit of calls is exceeded`;
      throw new ChicoryspringError('store-unavailable', message);
    }
    if (wait === 0) return;
    this.counts.add(kind, 'delayed');
    await this.clock.sleepUntil(now + wait);
  }

  private async post(path: string, body: object): Promise<unknown> {
    const requestText = JSON.stringify(body);
    const transfer = new AnswerTransfer({
      requestBytes: Buffer.byteLength(requestText),
      silenceMilliseconds: this.callTimeoutMilliseconds,
    });
    try {
      const answer = await this.pool.request({
        method: 'POST',
        path,
        headers: {'content-type': 'application/json'},
        body: requestText,
        signal: transfer.signal,
      });
      const answerText = await transfer.receive(answer.body);
      if (answer.statusCode === OK) return JSON.parse(answerText);
      throw new StoreStatusError(answer.statusCode);
    } finally {
      transfer.end();
    }
  }
}

function toStoreError(
  path: string,
  kind: CallKind,
  thrown: unknown,
): ChicoryspringError {
  const message = `${path}: ${(thrown as Error).message}`;
  const hadNoEffect = kind === 'read' || hasNoEffect(thrown);
  return new ChicoryspringError(
    hadNoEffect ? 'store-unavailable' : 'store-outcome-unknown',
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
  if (operation.kind === 'delete') {
    return {request_delete_range: {key: Base64Codec.encode(operation.key)}};
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
  if (message.result.canceled) {
    throw new ChicoryspringError(
      'store-unavailable',
      'the store canceled the watch',
    );
  }
  return message.result.events.map(event => ({
    key: Base64Codec.decode(event.kv.key),
    value:
      event.type === 'DELETE' ? undefined : Base64Codec.decode(event.kv.value),
    revision: Number(event.kv.mod_revision),
  }));
}

async function* readLines(body: AsyncIterable<Buffer>): AsyncGenerator<string> {
  let remainder = '';
  for await (const chunk of body) {
    const lines = (remainder + chunk.toString('utf8')).split('\n');
    remainder = lines.pop() ?? '';
    for (const line of lines) if (line.trim()) yield line;
  }
}
