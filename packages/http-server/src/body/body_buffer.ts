/** Bytes that a buffer allocates at least. */
const LEAST_BYTES = 1_024;
const GROWTH_FACTOR = 2;

/**
 * The bytes of a body that have arrived, copied together.
 *
 * A chunk that is kept costs over a hundred bytes besides its own, and may keep
 * the whole block alive into which the system read it.
 */
export class BodyBuffer {
  private bytes = Buffer.alloc(0);
  private length = 0;

  constructor(private readonly limitBytes: number) {}

  get byteLength(): number {
    return this.length;
  }

  /** Bytes of memory by which the buffer grows to take so many more. */
  growthFor(bytes: number): number {
    return this.capacityFor(bytes) - this.bytes.length;
  }

  append(chunk: Buffer): void {
    const capacity = this.capacityFor(chunk.length);
    if (capacity > this.bytes.length) {
      // Not of the shared pool: a small part of it would keep it all alive.
      const grown = Buffer.allocUnsafeSlow(capacity);
      this.bytes.copy(grown, 0, 0, this.length);
      this.bytes = grown;
    }
    chunk.copy(this.bytes, this.length);
    this.length += chunk.length;
  }

  toText(): string {
    return this.bytes.toString('utf8', 0, this.length);
  }

  clear(): void {
    this.bytes = Buffer.alloc(0);
    this.length = 0;
  }

  private capacityFor(bytes: number): number {
    const needed = this.length + bytes;
    let capacity = Math.max(this.bytes.length, LEAST_BYTES);
    while (capacity < needed) capacity *= GROWTH_FACTOR;
    return Math.max(needed, Math.min(capacity, this.limitBytes));
  }
}
