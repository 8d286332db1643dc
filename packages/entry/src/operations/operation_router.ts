import * as v from 'valibot';
import {
  AttemptOutcomes,
  ChicoryspringError,
  toChicoryspringError,
  type Clock,
  type ErrorKind,
} from '@chicoryspring/contracts';
import type {ShardTable} from '@chicoryspring/shards';
import type {EntryPeers} from '../entries/entry_peers.js';
import type {LiveState} from '../live_state/live_state.js';
import type {Operation} from './operation_types.js';

const RETRY_INTERVAL_MILLISECONDS = 100;
/** Errors after which any operation may be retried: it did not run. */
const NOT_RUN = new Set<ErrorKind>(['shard-unowned', 'peer-unreachable']);
/** Errors of a store outage at every entry; a short wait may resolve them. */
const OUTAGE_KINDS = new Set<ErrorKind>(['store-unavailable', 'lease-lapsed']);
/** Time for which an operation is retried in a store outage. */
const OUTAGE_RETRY_MILLISECONDS = 1_200;
/** Errors after which only an idempotent operation may be retried. */
const MAY_HAVE_RUN = new Set<ErrorKind>([
  'link-closed',
  'store-outcome-unknown',
]);

/** Errors of a relaying entry after which the next entry is asked. */
const NOT_ACCEPTED = new Set<ErrorKind>([
  'shard-unowned',
  'peer-unreachable',
  'store-unavailable',
]);

type Handler = (input: unknown, deadline: number) => Promise<unknown>;

interface RegisteredOperation {
  readonly operation: Operation<unknown, unknown>;
  readonly handle: Handler;
}

/**
 * Runs operations at the owner of their record: locally, or forwarded to the
 * owning entry, or relayed by an entry that knows the owner.
 */
export class OperationRouter {
  private readonly registered = new Map<string, RegisteredOperation>();

  constructor(
    private readonly table: Pick<ShardTable, 'owns' | 'shardOf'>,
    private readonly live: Pick<LiveState, 'ownerOf' | 'contactMilliseconds'>,
    private readonly peers: Pick<
      EntryPeers,
      'responsiveEntries' | 'forward' | 'relay'
    >,
    private readonly clock: Clock,
    /** Whether this entry may still act on the shards that it owns. */
    private readonly mayActOnShards: () => boolean,
  ) {}

  /** Registers the handler that the owner runs for an operation. */
  serve<Input, Result>(
    operation: Operation<Input, Result>,
    handle: (input: Input, deadline: number) => Promise<Result>,
  ): void {
    this.registered.set(operation.name, {
      operation: operation as Operation<unknown, unknown>,
      handle: handle as Handler,
    });
  }

  /**
   * Runs an operation at the owner of its record, with retries until the
   * deadline.
   *
   * It is retried only if it certainly did not run or is idempotent.
   */
  async run<Input, Result>(
    operation: Operation<Input, Result>,
    input: Input,
    deadline: number,
  ): Promise<Result> {
    const outcomes = new AttemptOutcomes();
    const outageDeadline = this.clock.now() + OUTAGE_RETRY_MILLISECONDS;
    for (;;) {
      try {
        return await this.tryOnce(operation, input, deadline);
      } catch (thrown) {
        const error = toChicoryspringError(thrown);
        const finalError = outcomes.recordFailure(error);
        const nextAttempt = this.clock.now() + RETRY_INTERVAL_MILLISECONDS;
        const isOutage = OUTAGE_KINDS.has(error.kind);
        const retryDeadline = isOutage
          ? Math.min(deadline, outageDeadline)
          : deadline;
        if (!mayRetry(operation, error) || nextAttempt >= retryDeadline)
          throw finalError;
        await this.clock.sleepUntil(nextAttempt);
      }
    }
  }

  /** Runs an operation that another entry forwarded to this one. */
  async runForwarded(
    name: string,
    input: unknown,
    deadline: number,
  ): Promise<unknown> {
    const {operation, handle, checked} = this.parseInput(name, input);
    if (!this.mayRunLocally(operation.key(checked))) {
      const message = 'the shard has another owner';
      throw new ChicoryspringError('shard-unowned', message);
    }
    return (await handle(checked, deadline)) ?? null;
  }

  /** Relays an operation, once, for an entry that doesn't know the owner. */
  async runRelayed(
    name: string,
    input: unknown,
    deadline: number,
  ): Promise<unknown> {
    const {operation, checked} = this.parseInput(name, input);
    const hasContact = this.live.contactMilliseconds > 0;
    if (!hasContact && !this.mayRunLocally(operation.key(checked)))
      throw noContactError();
    return (await this.runAtOwner(operation, checked, deadline)) ?? null;
  }

  /** Runs an operation at the owner of its record, without retries. */
  async tryOnce<Input, Result>(
    operation: Operation<Input, Result>,
    input: Input,
    deadline: number,
  ): Promise<Result> {
    const hasContact = this.live.contactMilliseconds > 0;
    if (hasContact || this.mayRunLocally(operation.key(input))) {
      return await this.runAtOwner(operation, input, deadline);
    }
    return await this.relayThroughPeers(operation, input, deadline);
  }

  /** Whether this entry owns the record and may act on it now. */
  private mayRunLocally(key: string): boolean {
    return this.table.owns(key) && this.mayActOnShards();
  }

  private parseInput(name: string, input: unknown) {
    const found = this.registered.get(name);
    if (!found) {
      throw new ChicoryspringError('malformed-message', `unknown ${name}`);
    }
    const checked = v.safeParse(found.operation.input, input);
    if (checked.success) return {...found, checked: checked.output};
    const message = checked.issues.map(issue => issue.message).join('; ');
    throw new ChicoryspringError('malformed-message', `${name}: ${message}`);
  }

  private async runAtOwner<Input, Result>(
    operation: Operation<Input, Result>,
    input: Input,
    deadline: number,
  ): Promise<Result> {
    const {name, answerMilliseconds = Infinity} = operation;
    const key = operation.key(input);
    if (this.mayRunLocally(key)) {
      const {handle} = this.registered.get(name)!;
      return (await handle(input, deadline)) as Result;
    }
    const owner = this.live.ownerOf(this.table.shardOf(key));
    if (owner === undefined) {
      throw new ChicoryspringError('shard-unowned', 'the shard has no owner');
    }
    const answerDeadline = Math.min(
      deadline,
      this.clock.now() + answerMilliseconds,
    );
    const result = await this.peers.forward(owner, name, input, answerDeadline);
    return v.parse(operation.result, result);
  }

  /**
   * Relays an operation through the first responsive entry that accepts it.
   *
   * Without contact with the store this entry doesn't know the owner, but
   * another entry may. If none accepts it, the last `shard-unowned` error is
   * thrown; without one, the error that no entry has contact.
   */
  private async relayThroughPeers<Input, Result>(
    operation: Operation<Input, Result>,
    input: Input,
    deadline: number,
  ): Promise<Result> {
    const {name, answerMilliseconds = Infinity} = operation;
    const answerDeadline = Math.min(
      deadline,
      this.clock.now() + answerMilliseconds,
    );
    const {responsiveEntries} = this.peers;
    let refusal =
      responsiveEntries.length > 0 ? noContactError() : partitionedError();
    for (const entry of responsiveEntries) {
      try {
        const result = await this.peers.relay(
          entry,
          name,
          input,
          answerDeadline,
        );
        return v.parse(operation.result, result);
      } catch (thrown) {
        const error = toChicoryspringError(thrown);
        if (!NOT_ACCEPTED.has(error.kind)) throw error;
        if (error.kind === 'shard-unowned') refusal = error;
      }
    }
    throw refusal;
  }
}

function partitionedError(): ChicoryspringError {
  const message = 'neither the store nor another entry is reachable';
  return new ChicoryspringError('entry-cut-off', message);
}

function noContactError(): ChicoryspringError {
  const message = 'no reachable entry has contact with the store';
  return new ChicoryspringError('store-unavailable', message);
}

function mayRetry(
  operation: {readonly isIdempotent: boolean},
  error: ChicoryspringError,
): boolean {
  if (NOT_RUN.has(error.kind) || OUTAGE_KINDS.has(error.kind)) return true;
  return operation.isIdempotent && MAY_HAVE_RUN.has(error.kind);
}
