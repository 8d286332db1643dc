/** Reads process ids until its input closes, then kills what is left. */
import {createInterface} from 'node:readline';

const pids = new Set<number>();
process.on('SIGINT', () => undefined);
process.on('SIGTERM', () => undefined);
for await (const line of createInterface({input: process.stdin})) {
  pids.add(Number(line));
}
for (const pid of pids) {
  try {
    process.kill(pid, 'SIGKILL');
  } catch {
    // It has ended by itself.
  }
}
