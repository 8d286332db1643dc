/** Receives the body of one answer and knows how much of it has arrived. */
export class AnswerTransfer {
  private readonly startedAt = performance.now();
  private receivedBytes = 0;

  /** Reads the whole body as text. */
  async receive(body: AsyncIterable<Uint8Array>): Promise<string> {
    const chunks: Uint8Array[] = [];
    for await (const chunk of body) {
      this.receivedBytes += chunk.length;
      chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString('utf8');
  }

  /** The progress so far, for the message of a failed call. */
  describe(): string {
    const milliseconds = Math.round(performance.now() - this.startedAt);
    return `${this.receivedBytes} bytes received in ${milliseconds} ms`;
  }
}
