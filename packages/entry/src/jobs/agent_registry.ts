import * as v from 'valibot';
import {
  Wakeup,
  toChicoryspringError,
  type Clock,
} from '@chicoryspring/contracts';
import type {StateLog} from '@chicoryspring/observability';
import type {Store} from '@chicoryspring/store';

const KEY = '/chicoryspring/agents';
const RETRY_MILLISECONDS = 300;
/** Time for which changes are collected for one write, as agents join. */
const BATCH_MILLISECONDS = 30;

const schema = v.array(v.string());

/**
 * The durable list of the agents that may have runs.
 *
 * An agent gets no run before it is listed, so a new owner knows from the list
 * whose reports it needs.
 */
export class AgentRegistry {
  private readonly wakeup = new Wakeup();
  private listed = new Set<string>();
  private readonly pendingAdditions = new Set<string>();
  private readonly pendingRemovals = new Set<string>();
  /** Number of the last read that was asked for. */
  private requestedRead = 1;
  /** Number of the read that the list is from; 0 before the first. */
  private finishedRead = 0;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly log: StateLog,
    private readonly onListed: () => void,
  ) {}

  /**
   * Whether the list was read after it was last asked for. Before that it may
   * lack agents that another entry has added.
   */
  get isLoaded(): boolean {
    return this.finishedRead === this.requestedRead;
  }

  get names(): readonly string[] {
    return [...this.listed];
  }

  has(agent: string): boolean {
    return this.listed.has(agent);
  }

  /** Adds an agent to the list with the next write. */
  add(agent: string): void {
    if (this.listed.has(agent) || this.pendingAdditions.has(agent)) return;
    this.pendingRemovals.delete(agent);
    this.pendingAdditions.add(agent);
    this.wakeup.notify();
  }

  /** Removes an agent that certainly has no run with the next write. */
  remove(agent: string): void {
    this.pendingAdditions.delete(agent);
    if (!this.listed.delete(agent)) return;
    this.pendingRemovals.add(agent);
    this.wakeup.notify();
  }

  /** Reads the list again, after this entry became the owner of a shard. */
  refresh(): void {
    this.requestedRead += 1;
    this.wakeup.notify();
  }

  /** Background loop that reads the list and writes changes to it. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.synchronize();
        await this.wakeup.wait(signal);
        await this.pause(BATCH_MILLISECONDS, signal);
      } catch (thrown) {
        const {kind, message} = toChicoryspringError(thrown);
        this.log.change('agent list not updated', {kind, message});
        await this.pause(RETRY_MILLISECONDS, signal);
      }
    }
  }

  /** Reads the list and writes the changes; again if another entry wrote. */
  private async synchronize(): Promise<void> {
    const readNumber = this.requestedRead;
    const {values} = await this.store.readPrefix(KEY);
    const found = values.find(one => one.key === KEY);
    const stored = found ? v.parse(schema, JSON.parse(found.value)) : [];
    const removed = new Set(this.pendingRemovals);
    const kept = stored.filter(name => !removed.has(name));
    const missing = [...this.pendingAdditions].filter(
      name => !stored.includes(name),
    );
    const names = [...kept, ...missing];
    if (names.join() !== stored.join()) {
      const value = JSON.stringify(names);
      const condition = {key: KEY, revision: found?.revision ?? 0};
      const put = {kind: 'put' as const, key: KEY, value};
      const written = await this.store.transact([condition], [put]);
      if (!written.succeeded) return await this.synchronize();
    }
    this.listed = new Set(names);
    for (const name of names) this.pendingAdditions.delete(name);
    for (const name of removed) this.pendingRemovals.delete(name);
    this.finishedRead = readNumber;
    this.onListed();
  }

  private async pause(milliseconds: number, signal: AbortSignal) {
    await this.clock.sleepUntil(this.clock.now() + milliseconds, signal);
  }
}
