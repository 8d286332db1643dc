import type {IncomingMessage, ServerResponse} from 'node:http';

/** Time in which a client that is still sending reads its answer. */
const LINGER_MILLISECONDS = 200;

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
  message.pause();
  if (!response.headersSent) response.setHeader('connection', 'close');
  // The HTTP server calls it when the last answer of a connection is written.
  socket.destroySoon = () => {
    socket.end();
    setTimeout(() => socket.destroy(), LINGER_MILLISECONDS).unref();
  };
}
