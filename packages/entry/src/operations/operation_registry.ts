import * as v from 'valibot';
import {
  AttemptOutcomesStore,
  ChicoryspringError,
  toChicoryspringError,
  type Clock,
  type ErrorKind,
} from '@chicoryspring/contracts';
import type {ShardTable} from '@chicoryspring/shards';
import type {EntryPeers} from '../entries/entry_peers_behaviour.js';
import type {LiveState} from '../live_state/live_state_behaviour.js';
import type {Operation} from './operation_types.js';

const RETRY_MILLISECONDS = 100;
/** Failures after which any operation may be tried again. */
const NOT_RUN = new Set<ErrorKind>(['shard-unowned', 'peer-unreachable']);
/** Failures after which only an idempotent operation may. */
const MAY_HAVE_RUN = new Set<ErrorKind>([
  'link-closed',
  'store-outcome-unknown',
]);

type Handler = (input: unknown, deadline: number) => Promise<unknown>;

interface Registered {
  readonly operation: Operation<unknown, unknown>;
  readonly handle: Handler;
}

/** Runs operations at the owner of their record, here or on another entry. */
export class OperationRegistry {
  private readonly registered = new Map<string, Registered>();

  constructor(
    private readonly table: ShardTable,
    private readonly live: LiveState,
    private readonly peers: EntryPeers,
    private readonly clock: Clock,
  ) {}

  /** Registers what the owner does for an operation. */
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
   * Runs an operation at its owner, wherever that is, until the deadline.
   *
   * It is tried again while it certainly did not run, or is idempotent.
   */
  async run<Input, Result>(
    operation: Operation<Input, Result>,
    input: Input,
    deadline: number,
  ): Promise<Result> {
    const outcomes = new AttemptOutcomesStore();
    for (;;) {
      try {
        return await this.tryOnce(operation, input, deadline);
      } catch (thrown) {
        const error = toChicoryspringError(thrown);
        const answered = outcomes.conclude(error);
        const next = this.clock.now() + RETRY_MILLISECONDS;
        if (!mayTryAgain(operation, error) || next >= deadline) throw answered;
        await this.clock.sleepUntil(next);
      }
    }
  }

  /** Runs an operation that another entry forwarded to this one. */
  async runHere(
    name: string,
    input: unknown,
    deadline: number,
  ): Promise<unknown> {
    const found = this.registered.get(name);
    if (!found) {
      throw new ChicoryspringError('malformed-message', `unknown ${name}`);
    }
    const checked = v.safeParse(found.operation.input, input);
    if (!checked.success) {
      const message = checked.issues.map(issue => issue.message).join('; ');
      throw new ChicoryspringError('malformed-message', `${name}: ${message}`);
    }
    if (!this.table.owns(found.operation.key(checked.output))) {
      const message = 'the shard has another owner';
      throw new ChicoryspringError('shard-unowned', message);
    }
    return (await found.handle(checked.output, deadline)) ?? null;
  }

  /** Runs an operation at its owner, if there is one, once. */
  async tryOnce<Input, Result>(
    operation: Operation<Input, Result>,
    input: Input,
    deadline: number,
  ): Promise<Result> {
    const key = operation.key(input);
    if (this.table.owns(key)) {
      const {handle} = this.registered.get(operation.name)!;
      return (await handle(input, deadline)) as Result;
    }
    const owner = this.live.ownerOf(this.table.shardOf(key));
    if (owner === undefined) {
      throw new ChicoryspringError('shard-unowned', 'the shard has no owner');
    }
    const {name} = operation;
    const result = await this.peers.forward(owner, name, input, deadline);
    return v.parse(operation.result, result);
  }
}

function mayTryAgain(
  operation: {readonly isIdempotent: boolean},
  error: ChicoryspringError,
): boolean {
  if (NOT_RUN.has(error.kind)) return true;
  return operation.isIdempotent && MAY_HAVE_RUN.has(error.kind);
}
