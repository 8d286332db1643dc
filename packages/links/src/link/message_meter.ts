import type {MessageCount} from './message_count_types.js';
import type {MessageCounts} from './message_counts.js';

type Direction = MessageCount['direction'];

/** What a JSON-RPC message says of itself; only calls have a method and an id. */
interface Message {
  readonly id?: unknown;
  readonly method?: unknown;
}

/** Counts the messages of one link, answers under the method of their call. */
export class MessageMeter {
  /** By direction, the methods of the calls that are not answered yet, by id. */
  private readonly unanswered = {
    sent: new Map<unknown, string>(),
    received: new Map<unknown, string>(),
  };

  constructor(private readonly counts: MessageCounts) {}

  /** Counts a message that was sent or received. */
  count(direction: Direction, message: Message, bytes: number): void {
    const {method, id} = message;
    if (typeof method !== 'string') {
      this.counts.record(direction, this.answered(direction, id), bytes);
      return;
    }
    if (id !== undefined) this.unanswered[direction].set(id, method);
    this.counts.record(direction, method, bytes);
  }

  /** Name under which an answer counts; the call went the other way. */
  private answered(direction: Direction, id: unknown): string {
    const calls = this.unanswered[direction === 'sent' ? 'received' : 'sent'];
    const method = calls.get(id) ?? 'unknown';
    calls.delete(id);
    return `${method} answer`;
  }
}
