import type {ServerResponse} from 'node:http';

const PIECE_COUNT = 6;
const PIECE_INTERVAL_MILLISECONDS = 500;

/**
 * Sends a body in pieces, with pauses that are shorter than the time limit of a
 * call but together longer, as a slow link does.
 */
export async function sendInPieces(
  response: ServerResponse,
  text: string,
): Promise<void> {
  const size = Math.ceil(text.length / PIECE_COUNT);
  for (let start = 0; start < text.length; start += size) {
    if (response.destroyed) return;
    response.write(text.slice(start, start + size));
    await new Promise(resolve =>
      setTimeout(resolve, PIECE_INTERVAL_MILLISECONDS),
    );
  }
  response.end();
}
