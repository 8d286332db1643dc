import {Server as SocketServer} from 'node:net';
import {
  setImmediate as nextPoll,
  setTimeout as sleep,
} from 'node:timers/promises';

const PAUSE_MILLISECONDS = 1;
/** Longest turn of the event loop after which hardly anything waits unread. */
const QUIET_TURN_MILLISECONDS = 2;
const MOST_TURNS = 100;

/**
 * Closes the listening socket of a server; its connections stay open.
 *
 * The system resets connections that wait to be accepted then. An event loop
 * accepts them when it polls, before it runs what `setImmediate` schedules;
 * while the work of that poll goes on, further ones arrive. The socket is closed
 * after a poll without much work.
 */
export async function closeListener(server: SocketServer): Promise<void> {
  for (let turn = 0; turn < MOST_TURNS; turn += 1) {
    await sleep(PAUSE_MILLISECONDS);
    const polledAt = performance.now();
    await nextPoll();
    if (performance.now() - polledAt <= QUIET_TURN_MILLISECONDS) break;
  }
  // The method of an HTTP server would close the idle connections too.
  SocketServer.prototype.close.call(server);
}
