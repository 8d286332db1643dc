import type {MessageCount} from './message_count_types.js';

/** Most pairs of direction and method; a peer may send names without end. */
const MAX_COUNTS = 200;
const OTHER_METHOD = 'other';

/** Counts the messages on all links of a process by method and direction. */
export class MessageCounts {
  private readonly counts = new Map<string, MessageCount>();

  /** Counts one message. */
  record(
    direction: MessageCount['direction'],
    method: string,
    bytes: number,
  ): void {
    const isFull = this.counts.size >= MAX_COUNTS;
    const key = `${direction} ${method}`;
    if (isFull && !this.counts.has(key) && method !== OTHER_METHOD) {
      this.record(direction, OTHER_METHOD, bytes);
      return;
    }
    const known = this.counts.get(key);
    this.counts.set(key, {
      direction,
      method,
      messages: (known?.messages ?? 0) + 1,
      bytes: (known?.bytes ?? 0) + bytes,
    });
  }

  /** The counts since the last call. */
  take(): readonly MessageCount[] {
    const counts = [...this.counts.values()];
    this.counts.clear();
    return counts;
  }
}
