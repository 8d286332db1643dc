/** Upload rate that a link offers at least, in bytes per millisecond. */
const MIN_UPLOAD_RATE = 250;

interface AnswerTransferOptions {
  /** Size of the request body, which is sent before the answer begins. */
  readonly requestBytes: number;
  /** Maximum time without progress. */
  readonly silenceMilliseconds: number;
  /** Time that the store may wait on purpose before it answers. */
  readonly waitMilliseconds?: number | undefined;
  /** Aborts the call from outside. */
  readonly signal?: AbortSignal | undefined;
}

/**
 * The transfer of one answer, aborted when it makes no progress.
 *
 * The time limit is one of silence, not of the whole transfer. Over a slow or
 * busy link a large answer takes longer than any useful limit for a silent
 * connection. To abort and repeat it would transfer the same bytes again, load
 * the link further and might never end.
 */
export class AnswerTransfer {
  private readonly silence = new AbortController();
  private readonly startedAt = performance.now();
  private receivedBytes = 0;
  private timer: NodeJS.Timeout;

  constructor(private readonly options: AnswerTransferOptions) {
    const {requestBytes, silenceMilliseconds, waitMilliseconds = 0} = options;
    const uploadMilliseconds = requestBytes / MIN_UPLOAD_RATE;
    this.timer = this.startTimer(
      uploadMilliseconds + waitMilliseconds + silenceMilliseconds,
    );
  }

  /** Aborts when the transfer makes no progress, or from outside. */
  get signal(): AbortSignal {
    const {signal} = this.options;
    return signal
      ? AbortSignal.any([this.silence.signal, signal])
      : this.silence.signal;
  }

  /** Reads the whole body as text; throws when the transfer is aborted. */
  async receive(body: AsyncIterable<Uint8Array>): Promise<string> {
    const chunks: Uint8Array[] = [];
    this.restartTimer();
    for await (const chunk of body) {
      this.receivedBytes += chunk.length;
      chunks.push(chunk);
      this.restartTimer();
    }
    return Buffer.concat(chunks).toString('utf8');
  }

  /** Stops the timer; to be called once the call has ended. */
  end(): void {
    clearTimeout(this.timer);
  }

  /** The progress so far, for the message of a failed call. */
  describe(): string {
    const milliseconds = Math.round(performance.now() - this.startedAt);
    return `${this.receivedBytes} bytes received in ${milliseconds} ms`;
  }

  private restartTimer(): void {
    clearTimeout(this.timer);
    this.timer = this.startTimer(this.options.silenceMilliseconds);
  }

  private startTimer(milliseconds: number): NodeJS.Timeout {
    const reason = new Error('no progress within the time limit');
    return setTimeout(() => this.silence.abort(reason), milliseconds);
  }
}
