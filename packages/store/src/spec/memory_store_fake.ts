import {ChicoryspringError, Wakeup, type Clock} from '@chicoryspring/contracts';
import type {StoreChange} from '../store/store_change_types.js';
import type {StoreCondition} from '../store/store_condition_types.js';
import type {StoreLease} from '../store/store_lease_types.js';
import type {StoreOperation} from '../store/store_operation_types.js';
import type {StoreRange} from '../store/store_range_types.js';
import type {StoreTransaction} from '../store/store_transaction_types.js';
import type {Store} from '../store/store_types.js';
import type {StoreValue} from '../store/store_value_types.js';
import type {MemoryStoreFault} from './memory_store_fault_types.js';

interface StoredValue extends StoreValue {
  readonly lease: string | undefined;
}

interface ActiveLease {
  readonly milliseconds: number;
  readonly deadline: number;
}

/** In-memory store with injected faults and delays. */
export class MemoryStore implements Store {
  readonly maxTransactionSize = 128;
  isDown = false;
  /** Whether watches stay open but report no changes. */
  isWatchSilent = false;
  /** Number of calls by kind. */
  readonly calls = new Map<string, number>();
  private readonly values = new Map<string, StoredValue>();
  private readonly leases = new Map<string, ActiveLease>();
  private readonly watchers = new Set<Wakeup>();
  private readonly closing = new AbortController();
  private changes: readonly StoreChange[] = [];
  private revision = 1;
  private nextLease = 1;
  private watchGeneration = 0;

  constructor(
    private readonly clock: Clock,
    private readonly nextFault: () => MemoryStoreFault = () => ({
      kind: 'none',
      requestMilliseconds: 0,
      replyMilliseconds: 0,
    }),
  ) {}

  async readPrefix(prefix: string): Promise<StoreRange> {
    return await this.execute('read', () => {
      const found = [...this.values.values()]
        .filter(({key}) => key.startsWith(prefix))
        .map(({key, value, revision}) => ({key, value, revision}))
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      return {values: found, revision: this.revision};
    });
  }

  async transact(
    conditions: readonly StoreCondition[],
    operations: readonly StoreOperation[],
  ): Promise<StoreTransaction> {
    return await this.execute('transact', () => {
      const succeeded = conditions.every(
        ({key, revision}) => (this.values.get(key)?.revision ?? 0) === revision,
      );
      if (succeeded) this.requireLeases(operations);
      if (succeeded) this.applyAll(operations);
      return {succeeded, revision: this.revision};
    });
  }

  async grantLease(milliseconds: number): Promise<StoreLease> {
    return await this.execute('grant', () => {
      const id = String(this.nextLease++);
      this.setDeadline(id, milliseconds);
      return {id};
    });
  }

  async renewLease(id: string): Promise<boolean> {
    return await this.execute('renew', () => {
      const lease = this.leases.get(id);
      if (lease) this.setDeadline(id, lease.milliseconds);
      return lease !== undefined;
    });
  }

  async revokeLease(id: string): Promise<void> {
    await this.execute('revoke', () => this.expireLease(id));
  }

  async *watch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncGenerator<readonly StoreChange[]> {
    const generation = this.watchGeneration;
    const wakeup = new Wakeup();
    this.watchers.add(wakeup);
    let position = 0;
    while (!signal.aborted && generation === this.watchGeneration) {
      const newChanges = this.changes.slice(position);
      position = this.changes.length;
      const matching = newChanges.filter(
        one => one.key.startsWith(prefix) && one.revision >= fromRevision,
      );
      if (matching.length > 0 && !this.isWatchSilent) yield matching;
      else await wakeup.wait(signal);
    }
    this.watchers.delete(wakeup);
  }

  /** The values below a prefix, read without a call and its faults. */
  peek(prefix: string): readonly StoreValue[] {
    this.expireDueLeases();
    return [...this.values.values()].filter(one => one.key.startsWith(prefix));
  }

  /** Expires a lease at once, as when its owner was paused for too long. */
  expireLeaseNow(id: string): void {
    this.expireLease(id);
  }

  /** Ends every watch and cancels the timers of the leases. */
  close(): void {
    this.dropWatches();
    this.closing.abort();
  }

  /** Ends every watch, as a lost connection does. */
  dropWatches(): void {
    this.watchGeneration += 1;
    for (const watcher of this.watchers) watcher.notify();
  }

  private async execute<T>(kind: string, apply: () => T): Promise<T> {
    this.calls.set(kind, (this.calls.get(kind) ?? 0) + 1);
    const fault = this.nextFault();
    await this.sleep(fault.requestMilliseconds);
    if (this.isDown || fault.kind === 'refused') {
      throw new ChicoryspringError('store-unavailable', kind);
    }
    if (fault.kind === 'dropped') throw noReplyError(kind);
    this.expireDueLeases();
    const result = apply();
    await this.sleep(fault.replyMilliseconds);
    if (fault.kind === 'lost') throw noReplyError(kind);
    return result;
  }

  private async sleep(milliseconds: number): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + milliseconds);
  }

  /** Throws, as the platform's store does, for a key under an ended lease. */
  private requireLeases(operations: readonly StoreOperation[]): void {
    for (const operation of operations) {
      if (operation.kind !== 'put' || operation.lease === undefined) continue;
      if (this.leases.has(operation.lease)) continue;
      throw new ChicoryspringError('lease-lapsed', 'the lease has ended');
    }
  }

  private applyAll(operations: readonly StoreOperation[]): void {
    this.revision += 1;
    for (const operation of operations) {
      if (operation.kind === 'put') this.put(operation);
      else this.remove(operation.key);
    }
    for (const watcher of this.watchers) watcher.notify();
  }

  private put(operation: Extract<StoreOperation, {readonly kind: 'put'}>) {
    const {key, value, lease} = operation;
    const {revision} = this;
    this.values.set(key, {key, value, revision, lease});
    this.changes = [...this.changes, {key, value, revision}];
  }

  private remove(key: string): void {
    if (!this.values.delete(key)) return;
    this.changes = [...this.changes, {key, revision: this.revision}];
  }

  private setDeadline(id: string, milliseconds: number): void {
    const deadline = this.clock.now() + milliseconds;
    this.leases.set(id, {milliseconds, deadline});
    void this.clock
      .sleepUntil(deadline, this.closing.signal)
      .then(() => this.expireDueLeases());
  }

  private expireDueLeases(): void {
    const now = this.clock.now();
    for (const [id, {deadline}] of this.leases) {
      if (deadline <= now) this.expireLease(id);
    }
  }

  private expireLease(id: string): void {
    if (!this.leases.delete(id)) return;
    this.revision += 1;
    for (const {key, lease} of [...this.values.values()]) {
      if (lease === id) this.remove(key);
    }
    for (const watcher of this.watchers) watcher.notify();
  }
}

function noReplyError(kind: string): ChicoryspringError {
  const isRead = kind === 'read';
  return new ChicoryspringError(
    isRead ? 'store-unavailable' : 'store-outcome-unknown',
    kind,
  );
}
