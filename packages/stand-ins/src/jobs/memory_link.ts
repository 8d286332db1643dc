import {once} from 'node:events';
import {
  ChicoryspringError,
  withDeadline,
  type Clock,
} from '@chicoryspring/contracts';
import type {Link, LinkMethod, LinkMethodRegistry} from '@chicoryspring/links';
import {ProcessSuspension} from './process_suspension.js';

const NO_TRAFFIC = {sentBytes: 0, receivedBytes: 0};

interface MemoryLinkEnd {
  readonly clock: Clock;
  readonly registry: LinkMethodRegistry;
  /** Whether the process at this end is suspended; never if absent. */
  readonly suspension?: ProcessSuspension;
}

/** One end of a link between two objects of one process. */
export class MemoryLink implements Link {
  readonly traffic = NO_TRAFFIC;
  /** Whether the messages that this end sends are lost, as behind a cut. */
  isCut = false;
  /** Time from sending a message at this end to its arrival. */
  delayMilliseconds = 0;
  private readonly closing = new AbortController();
  private readonly whenClosed = once(this.closing.signal, 'abort');
  private other: MemoryLink | undefined;
  /** Instant at which the last message of this end arrives; they keep order. */
  private lastArrival = 0;
  /** Age of the last message that arrived at this end. */
  private arrivalAge = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly registry: LinkMethodRegistry,
    private readonly suspension = new ProcessSuspension(),
  ) {}

  /** Two ends; each serves the methods of its registry, on its own clock. */
  static pair(
    first: MemoryLinkEnd,
    second: MemoryLinkEnd,
  ): readonly [MemoryLink, MemoryLink] {
    const one = MemoryLink.endOf(first);
    const two = MemoryLink.endOf(second);
    one.other = two;
    two.other = one;
    return [one, two];
  }

  private static endOf({clock, registry, suspension}: MemoryLinkEnd) {
    return new MemoryLink(clock, registry, suspension);
  }

  /** The end at the peer. */
  get peer(): MemoryLink {
    return this.other!;
  }

  get isOpen(): boolean {
    return !this.closing.signal.aborted;
  }

  get closed(): AbortSignal {
    return this.closing.signal;
  }

  get earliestSendTime(): number {
    return this.clock.now() - this.arrivalAge;
  }

  async call<Input, Result>(
    method: LinkMethod<Input, Result>,
    input: Input,
    deadline: number,
  ): Promise<Result> {
    if (!this.isOpen) {
      throw new ChicoryspringError('peer-unreachable', method.name);
    }
    const unanswered = () =>
      new ChicoryspringError('outcome-unknown', method.name);
    const answer = this.exchange(method.name, input) as Promise<Result>;
    const ended = Promise.race([answer, this.failWhenClosed(method.name)]);
    return await withDeadline(this.clock, deadline, ended, unanswered);
  }

  notify<Input>(method: LinkMethod<Input, unknown>, input: Input): void {
    if (this.isOpen) void this.send(method.name, input);
  }

  close(): void {
    for (const end of [this, this.peer])
      end.suspension.whenAwake(() => end.closing.abort());
  }

  /** Rejects once the link is closed; what is on its way arrives all the same. */
  private async failWhenClosed(method: string): Promise<never> {
    await this.whenClosed;
    throw new ChicoryspringError('link-closed', method);
  }

  /** Sends a call and returns the answer, which may be lost as well. */
  private async exchange(method: string, input: unknown): Promise<unknown> {
    const result = await this.send(method, input);
    await this.peer.pass();
    return result;
  }

  private async send(method: string, input: unknown): Promise<unknown> {
    await this.pass();
    return await this.peer.registry.handle(method, input, this.peer);
  }

  /** Resolves when a message that is sent now has arrived, if it ever does. */
  private async pass(): Promise<void> {
    const {clock, peer, delayMilliseconds} = this;
    if (this.isCut) return await new Promise<never>(() => undefined);
    const sentAt = clock.now();
    this.lastArrival = Math.max(this.lastArrival, sentAt + delayMilliseconds);
    const travelling = this.lastArrival - sentAt;
    if (travelling > 0)
      await peer.clock.sleepUntil(peer.clock.now() + travelling);
    if (peer.suspension.isSuspended) await peer.suspension.awake();
    peer.arrivalAge = clock.now() - sentAt;
  }
}
