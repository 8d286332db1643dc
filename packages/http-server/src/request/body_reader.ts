import type {IncomingMessage} from 'node:http';
import {ChicoryspringError} from '@chicoryspring/contracts';

/** Reads a whole body of at most the limit. */
export async function readBody(
  message: IncomingMessage,
  limitBytes: number,
): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  // The connection stays, so that the refusal can still be sent on it.
  for await (const chunk of message.iterator({destroyOnReturn: false})) {
    const bytes = chunk as Buffer;
    length += bytes.length;
    if (length > limitBytes) {
      const limit = `the body is over ${limitBytes} bytes`;
      throw new ChicoryspringError('body-too-large', limit);
    }
    chunks.push(bytes);
  }
  return Buffer.concat(chunks).toString('utf8');
}
