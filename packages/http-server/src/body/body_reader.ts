import type {IncomingMessage} from 'node:http';
import {ChicoryspringError, type Clock} from '@chicoryspring/contracts';
import type {BodyBudget} from './body_budget.js';
import type {SmallChunkPacer} from './small_chunk_pacer.js';
import {BodyBuffer} from './body_buffer.js';
import type {BodyLimits} from './body_limits_types.js';
import type {BudgetedBody} from './budgeted_body_types.js';

/** A chunk below this costs more for its head than for its bytes. */
const SMALL_CHUNK_BYTES = 64;
/** Small chunks after which a body waits for its turn. */
const SMALL_CHUNKS_PER_TURN = 256;

/** What the bodies of a process share. */
interface SharedBodies {
  readonly bodies: BodyBudget;
  readonly pacer: SmallChunkPacer;
}

/**
 * Reads the body of one request within the limits and the budget.
 *
 * After a refusal nothing more is read; `release` returns to the budget what the
 * body holds, whatever became of the request.
 */
export class BodyReader implements BudgetedBody {
  private readonly buffer: BodyBuffer;
  private readonly deadline: number;
  private receivedBytes = 0;
  private isOver = false;
  private reject: (error: Error) => void = () => undefined;
  private cancelWindow: () => void = () => undefined;
  private smallChunks = 0;
  private cancelTurn: (() => void) | undefined;

  constructor(
    private readonly message: IncomingMessage,
    private readonly limits: BodyLimits,
    private readonly shared: SharedBodies,
    private readonly clock: Clock,
  ) {
    this.buffer = new BodyBuffer(limits.bodyBytes);
    this.deadline = clock.now() + limits.requestMilliseconds;
  }

  /**
   * Reads the whole body; throws `body-too-large`, `body-too-slow` or
   * `overloaded`.
   */
  async read(): Promise<string> {
    const {message, limits} = this;
    const announced = Number(message.headers['content-length'] ?? 0);
    if (announced > limits.bodyBytes) throw this.tooLarge();
    try {
      return await new Promise<string>((resolve, reject) => {
        this.reject = reject;
        this.watchWindow();
        this.takeChunks();
        message.on('end', () => resolve(this.finish()));
        message.resume();
        message.on('error', reject);
        message.on('close', () => reject(new Error('the connection closed')));
      });
    } finally {
      this.cancelWindow();
    }
  }

  giveUp(error: Error): void {
    this.release();
    this.reject(error);
  }

  /** Returns what the body holds, and reads no more of it. */
  release(): void {
    this.shared.bodies.release(this);
    this.isOver = true;
    this.proceed();
    this.cancelWindow();
    this.buffer.clear();
    if (!this.message.complete) this.message.pause();
  }

  /**
   * Takes each chunk as it is parsed. The stream would schedule work for each and
   * keep those of a whole block, which one-byte chunks make expensive.
   */
  private takeChunks(): void {
    const {message} = this;
    const push = message.push.bind(message);
    message.push = (chunk: Buffer | null) => {
      if (chunk === null) return push(null);
      if (!this.isOver) this.append(chunk);
      // After a refusal the connection is read no further.
      return !this.isOver;
    };
  }

  private append(chunk: Buffer): void {
    try {
      const {length} = chunk;
      this.receivedBytes += length;
      if (this.receivedBytes > this.limits.bodyBytes) throw this.tooLarge();
      const growth = this.buffer.growthFor(length);
      if (growth > 0) this.shared.bodies.take(this, growth);
      this.buffer.append(chunk);
      if (length < SMALL_CHUNK_BYTES) this.countSmallChunk();
    } catch (thrown) {
      this.giveUp(thrown as Error);
    }
  }

  private countSmallChunk(): void {
    this.smallChunks += 1;
    if (this.smallChunks !== SMALL_CHUNKS_PER_TURN) return;
    const proceed = () => this.proceed();
    this.cancelTurn = this.shared.pacer.wait(proceed);
    // The rest of the block that was read is parsed first.
    process.nextTick(() => {
      if (this.cancelTurn) this.message.socket.pause();
    });
  }

  /** Goes on reading after a wait for its turn. */
  private proceed(): void {
    this.smallChunks = 0;
    if (!this.cancelTurn) return;
    this.cancelTurn();
    this.cancelTurn = undefined;
    this.message.socket.resume();
  }

  /** The text; the buffer is dropped, and the budget counts on for the text. */
  private finish(): string {
    if (!this.isOver) this.shared.bodies.keep(this);
    const text = this.buffer.toText();
    this.buffer.clear();
    return text;
  }

  /** Refuses the body if too little of it arrives in the next window. */
  private watchWindow(): void {
    const {clock, limits, deadline, receivedBytes} = this;
    const windowEnd = clock.now() + limits.bodyWindowMilliseconds;
    const due = Math.min(windowEnd, deadline);
    const check = () => {
      if (this.isOver) return;
      const arrived = this.receivedBytes - receivedBytes;
      const isFast = arrived >= limits.bodyWindowBytes;
      if (isFast && due < deadline) this.watchWindow();
      else this.giveUp(tooSlow());
    };
    this.cancelWindow = clock.schedule(due, () => {
      // What has arrived while the process was busy is read before.
      const checking = setImmediate(check);
      this.cancelWindow = () => clearImmediate(checking);
    });
  }

  private tooLarge(): ChicoryspringError {
    const message = `the body is larger than ${this.limits.bodyBytes} bytes`;
    return new ChicoryspringError('body-too-large', message);
  }
}

function tooSlow(): ChicoryspringError {
  const message = 'the body arrives too slowly';
  return new ChicoryspringError('body-too-slow', message);
}
