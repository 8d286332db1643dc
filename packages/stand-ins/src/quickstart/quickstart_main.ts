/** `npm run quickstart`: sends a check, a run and a watch through a fleet. */
import {request} from 'undici';
import {LocalFleetStarter} from '../local/local_fleet_starter.js';

const BASE_PORT = 18_700;
const starter = new LocalFleetStarter({
  basePort: BASE_PORT,
});

async function timed(what: string, work: () => Promise<string>): Promise<void> {
  const started = performance.now();
  const result = await work();
  const took = (performance.now() - started).toFixed(1);
  console.log(`${what}: ${result} (${took} ms)`);
}

const begun = performance.now();
const fleet = await starter.start();
console.log(`fleet: ready (${(performance.now() - begun).toFixed(0)} ms)`);
const [entry] = fleet.entries;
const authorization = `Bearer ${fleet.callerTokens['rangers']}`;

async function ask(
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body?: string,
): Promise<string> {
  const answer = await request(`${entry!.url}${path}`, {
    method,
    headers: {authorization, 'content-type': 'application/json'},
    body: body ?? null,
  });
  return await answer.body.text();
}

function idOf(answer: string): string {
  return (JSON.parse(answer) as {readonly id: string}).id;
}

try {
  const reading = JSON.stringify({gauge: 'B-17', centimetres: -12});
  const path = '/v1/services/records/requests';
  await timed('check', () => ask('POST', path, reading));
  await timed('run', async () => {
    const task = JSON.stringify(fleet.exampleTask);
    const id = idOf(await ask('POST', '/v1/tasks', task));
    return await ask('GET', `/v1/tasks/${id}/answer`);
  });
  await timed('watch', async () => {
    const task = {
      ...fleet.exampleTask,
      kind: 'watch',
      taskClass: 'block-watch',
    };
    const id = idOf(await ask('POST', '/v1/tasks', JSON.stringify(task)));
    let state = '';
    while (!state.includes('"running"')) {
      state = await ask('GET', `/v1/tasks/${id}`);
    }
    await ask('DELETE', `/v1/tasks/${id}`);
    return state;
  });
} finally {
  await starter.stop();
}
process.exit();
