import {ChicoryspringError, type Clock} from '@chicoryspring/contracts';
import type {Link, LinkMethod, LinkMethodRegistry} from '@chicoryspring/links';

const NO_TRAFFIC = {sentBytes: 0, receivedBytes: 0};

interface MemoryLinkEnd {
  readonly clock: Clock;
  readonly registry: LinkMethodRegistry;
}

/** One end of a link between two objects of one process. */
export class MemoryLink implements Link {
  readonly traffic = NO_TRAFFIC;
  /** Whether messages are lost, as behind a cut. */
  isCut = false;
  private readonly closing = new AbortController();
  private other: MemoryLink | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly registry: LinkMethodRegistry,
  ) {}

  /** Two ends; each serves the methods of its registry, on its own clock. */
  static pair(
    first: MemoryLinkEnd,
    second: MemoryLinkEnd,
  ): readonly [MemoryLink, MemoryLink] {
    const one = new MemoryLink(first.clock, first.registry);
    const two = new MemoryLink(second.clock, second.registry);
    one.other = two;
    two.other = one;
    return [one, two];
  }

  get isOpen(): boolean {
    return !this.closing.signal.aborted;
  }

  get closed(): AbortSignal {
    return this.closing.signal;
  }

  get earliestSendTime(): number {
    return this.clock.now();
  }

  async call<Input, Result>(
    method: LinkMethod<Input, Result>,
    input: Input,
    deadline: number,
  ): Promise<Result> {
    if (!this.isOpen) {
      throw new ChicoryspringError('peer-unreachable', method.name);
    }
    if (this.isCut) {
      await this.clock.sleepUntil(deadline);
      throw new ChicoryspringError('outcome-unknown', method.name);
    }
    const {other} = this;
    return (await other!.registry.handle(method.name, input, other!)) as Result;
  }

  notify<Input>(method: LinkMethod<Input, unknown>, input: Input): void {
    if (!this.isOpen || this.isCut) return;
    void this.other!.registry.handle(method.name, input, this.other!);
  }

  close(): void {
    this.closing.abort();
    this.other?.closing.abort();
  }
}
