import type {IncomingMessage, ServerResponse} from 'node:http';

/** Time in which a client that is still sending can read its answer. */
const LINGER_MILLISECONDS = 200;

/**
 * Ends the connection of a request whose body is not read to its end, once its
 * answer is out.
 *
 * The rest of the body isn't read. A connection that is closed with unread bytes is
 * reset, which may take the answer away from the client, so it stays open for a
 * short time after the answer.
 */
export function endAfterAnswer(
  message: IncomingMessage,
  response: ServerResponse,
): void {
  const {socket} = message;
  readNoFurther(message);
  if (!response.headersSent) response.setHeader('connection', 'close');
  // The HTTP server calls it when the last answer of a connection is written.
  socket.destroySoon = () => {
    socket.end();
    setTimeout(() => socket.destroy(), LINGER_MILLISECONDS).unref();
  };
}

/** Stops the reading of a body; what has been read already is dropped. */
function readNoFurther(message: IncomingMessage): void {
  message.pause();
  message.push = () => false;
  // Node.js resumes a body that nobody reads, once its answer is out.
  message.resume = () => message;
  // The block that is being parsed comes to its end first.
  process.nextTick(() => message.socket.pause());
}
