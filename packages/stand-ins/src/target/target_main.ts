/** Runs the target stand-in, which announces itself to its agent. */
import {setTimeout as sleep} from 'node:timers/promises';
import {cac} from 'cac';
import {request} from 'undici';
import {createTargetServer} from './target_server.js';
import {TargetStandIn} from './target_stand_in.js';

const ANNOUNCE_MILLISECONDS = 1_000;
const DRAIN_POLL_MILLISECONDS = 10;

const commandLine = cac('target');
commandLine.option('--port <port>', 'Port');
commandLine.option('--agent-url <url>', 'Address of the agent');
commandLine.option('--service <name>', 'Service of the target');
commandLine.option('--slots <count>', 'Requests at once', {default: 8});
commandLine.option('--connections <count>', 'Connections', {default: 64});
commandLine.option('--service-milliseconds <time>', 'Time of one request', {
  default: 1,
});
const {options} = commandLine.parse();
const target = new TargetStandIn(
  Number(options['slots']),
  Number(options['serviceMilliseconds']),
);
const server = createTargetServer(target);
server.listen(Number(options['port']), '127.0.0.1');
let isLeaving = false;

async function tellAgent(path: string, body: object): Promise<void> {
  const answer = await request(`${options['agentUrl']}${path}`, {
    method: 'POST',
    body: JSON.stringify(body),
  });
  await answer.body.dump();
}

async function announce(): Promise<void> {
  while (!isLeaving) {
    const announcement = {
      service: String(options['service']),
      url: `http://127.0.0.1:${options['port']}`,
      slots: Number(options['slots']),
      connections: Number(options['connections']),
    };
    // The agent may not run at present; the next announcement reaches it.
    await tellAgent('/target/announce', announcement).catch(() => undefined);
    await sleep(ANNOUNCE_MILLISECONDS);
  }
}

async function leave(): Promise<void> {
  isLeaving = true;
  // Without its agent the target receives no requests either.
  await tellAgent('/target/leave', {}).catch(() => undefined);
  while (!target.isIdle) await sleep(DRAIN_POLL_MILLISECONDS);
  process.exit();
}

process.on('SIGTERM', () => void leave());
void announce();
