import type {IncomingMessage} from 'node:http';
import {ChicoryspringError} from '@chicoryspring/contracts';

/** Reads a whole body; throws `body-too-large` once it exceeds the limit. */
export async function readBody(
  message: IncomingMessage,
  limitBytes: number,
): Promise<string> {
  return await new Promise<string>((resolve, reject) => {
    const chunks: Buffer[] = [];
    let length = 0;
    const append = (bytes: Buffer) => {
      length += bytes.length;
      chunks.push(bytes);
      if (length <= limitBytes) return;
      // The connection stays open so that the error can still be sent on it.
      message.off('data', append);
      reject(bodyTooLarge(limitBytes));
    };
    message.on('data', append);
    message.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
    message.on('error', reject);
  });
}

function bodyTooLarge(limitBytes: number): ChicoryspringError {
  const message = `the body is larger than ${limitBytes} bytes`;
  return new ChicoryspringError('body-too-large', message);
}
