import type {IncomingMessage, ServerResponse} from 'node:http';

/** Time in which a client that is still sending reads its answer. */
const LINGER_MILLISECONDS = 200;
/** Time in which the answer itself is written. */
const ANSWER_MILLISECONDS = 2_000;

/**
 * Ends the connection of a request whose body is not read to its end, once its
 * answer is out.
 *
 * Nothing is read before. A connection that is closed with unread bytes is reset,
 * which may take the answer away from the client: after the answer, what still
 * arrives is discarded for a short time.
 */
export function endAfterAnswer(
  message: IncomingMessage,
  response: ServerResponse,
): void {
  const {socket} = message;
  const closeAfter = (milliseconds: number) =>
    setTimeout(() => socket.destroy(), milliseconds).unref();
  message.pause();
  if (!response.headersSent) response.setHeader('connection', 'close');
  closeAfter(ANSWER_MILLISECONDS);
  // The HTTP server calls it when the last answer of a connection is written.
  socket.destroySoon = () => {
    socket.end();
    closeAfter(LINGER_MILLISECONDS);
  };
}
