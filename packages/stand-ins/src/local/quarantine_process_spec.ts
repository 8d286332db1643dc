import * as assert from 'uvu/assert';
import {request} from 'undici';
import {describe} from '@chicoryspring/testing';
import {LocalFleetStarter} from './local_fleet_starter.js';
import type {LocalFleet} from './local_fleet_types.js';

const BASE_PORT = 26_000;
const JSON_TYPE = {'content-type': 'application/json'};

const starter = new LocalFleetStarter({
  entries: 1,
  basePort: BASE_PORT,
  shards: 4,
});
const fleet: LocalFleet = await starter.start();
const authorization = `Bearer ${fleet.callerTokens['rangers']}`;
const headers = {authorization, ...JSON_TYPE};

interface EndedTask {
  readonly id: string;
  readonly state: string;
  readonly reason?: string;
  readonly epoch: number;
}

async function setFaults(faults: readonly string[]): Promise<void> {
  for (const [position, fault] of faults.entries()) {
    const {url} = fleet.workers[position]!;
    const body = JSON.stringify({fault});
    const options = {method: 'POST', headers: JSON_TYPE, body} as const;
    await (await request(`${url}/faults`, options)).body.dump();
  }
}

async function runTask(): Promise<EndedTask> {
  const {url} = fleet.entries[0]!;
  const body = JSON.stringify(fleet.exampleTask);
  const submitted = await request(`${url}/v1/tasks`, {
    method: 'POST',
    headers,
    body,
  });
  const {id} = (await submitted.body.json()) as EndedTask;
  const ended = await request(`${url}/v1/tasks/${id}/answer`, {headers});
  return (await ended.body.json()) as EndedTask;
}

describe('a fleet', (_, hooks) => {
  hooks.after(() => starter.stop());

  describe('whose workers fail what they start', test => {
    test('two of three: the task finishes on the third', async () => {
      await setFaults(['crash-on-start', 'crash-on-start', 'none']);
      const task = await runTask();
      assert.is(task.state, 'finished');
    });

    test('all: the task is quarantined after three attempts', async () => {
      await setFaults(['crash-on-start', 'crash-on-start', 'crash-on-start']);
      const task = await runTask();
      assert.equal([task.state, task.reason], ['failed', 'quarantined']);
      assert.is(task.epoch, 3);
    });
  });
});
