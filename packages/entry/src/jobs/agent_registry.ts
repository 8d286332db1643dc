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
/** Time in which agents that join together are written together. */
const GATHER_MILLISECONDS = 30;

const schema = v.array(v.string());

/**
 * The durable list of the agents that may hold runs.
 *
 * An agent gets no run before it is listed, so a new owner knows from the list
 * whose reports it needs.
 */
export class AgentRegistry {
  private readonly wakeup = new Wakeup();
  private listed = new Set<string>();
  private readonly wanted = new Set<string>();
  private readonly unwanted = new Set<string>();
  private isRead = false;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly log: StateLog,
    private readonly onListed: () => void,
  ) {}

  /** Whether the list was read; before, nothing is known. */
  get isKnown(): boolean {
    return this.isRead;
  }

  get names(): readonly string[] {
    return [...this.listed];
  }

  has(agent: string): boolean {
    return this.listed.has(agent);
  }

  /** Lists an agent, soon. */
  add(agent: string): void {
    if (this.listed.has(agent) || this.wanted.has(agent)) return;
    this.unwanted.delete(agent);
    this.wanted.add(agent);
    this.wakeup.notify();
  }

  /** Takes an agent off the list, soon, since it certainly holds no run. */
  remove(agent: string): void {
    this.wanted.delete(agent);
    if (!this.listed.delete(agent)) return;
    this.unwanted.add(agent);
    this.wakeup.notify();
  }

  /** Reads the list, since this entry became the owner of a shard. */
  refresh(): void {
    this.wakeup.notify();
  }

  /** The task that reads the list and adds to it. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.write();
        await this.wakeup.wait(signal);
        await this.pause(GATHER_MILLISECONDS, signal);
      } catch (thrown) {
        const {kind, message} = toChicoryspringError(thrown);
        this.log.change('agents not listed', {kind, message});
        await this.pause(RETRY_MILLISECONDS, signal);
      }
    }
  }

  private async write(): Promise<void> {
    const {values} = await this.store.readPrefix(KEY);
    const found = values.find(one => one.key === KEY);
    const stored = found ? v.parse(schema, JSON.parse(found.value)) : [];
    const removed = new Set(this.unwanted);
    const kept = stored.filter(name => !removed.has(name));
    const missing = [...this.wanted].filter(name => !stored.includes(name));
    const names = [...kept, ...missing];
    if (names.join() !== stored.join()) {
      const value = JSON.stringify(names);
      const condition = {key: KEY, revision: found?.revision ?? 0};
      const put = {kind: 'put' as const, key: KEY, value};
      const written = await this.store.transact([condition], [put]);
      if (!written.succeeded) return await this.write();
    }
    this.listed = new Set(names);
    for (const name of names) this.wanted.delete(name);
    for (const name of removed) this.unwanted.delete(name);
    this.isRead = true;
    this.onListed();
  }

  private async pause(milliseconds: number, signal: AbortSignal) {
    await this.clock.sleepUntil(this.clock.now() + milliseconds, signal);
  }
}
