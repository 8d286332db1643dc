import {MessageCounts} from '../link/message_counts.js';
import type {Link} from '../link/link_types.js';
import type {LinkMethod} from './link_method_types.js';

type Handler = (input: unknown, link: Link) => Promise<unknown>;

/** The methods that a process serves on its links, with their handlers. */
export class LinkMethodRegistry {
  /** The messages on all links that serve these methods. */
  readonly messageCounts = new MessageCounts();
  private readonly handlers = new Map<string, Handler>();
  private readonly inProgress = new Set<Promise<unknown>>();
  private readonly methods = new Map<string, LinkMethod<unknown, unknown>>();

  /** Registers the handler of a method. */
  register<Input, Result>(
    method: LinkMethod<Input, Result>,
    handle: (input: Input, link: Link) => Promise<Result>,
  ): void {
    this.methods.set(method.name, method as LinkMethod<unknown, unknown>);
    this.handlers.set(method.name, handle as Handler);
  }

  /** Every served method. */
  list(): readonly LinkMethod<unknown, unknown>[] {
    return [...this.methods.values()];
  }

  /** Runs the handler of a method; the input must already be validated. */
  async handle(name: string, input: unknown, link: Link): Promise<unknown> {
    const call = this.handlers.get(name)!(input, link);
    this.inProgress.add(call);
    try {
      return await call;
    } finally {
      this.inProgress.delete(call);
    }
  }

  /** Resolves once the calls now in progress have ended; ignores later ones. */
  async drained(): Promise<void> {
    await Promise.allSettled(this.inProgress);
  }
}
