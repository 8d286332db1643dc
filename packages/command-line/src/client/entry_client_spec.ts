import * as assert from 'uvu/assert';
import * as v from 'valibot';
import {InterruptedServer, describe} from '@chicoryspring/testing';
import {EntryClient} from './entry_client.js';

const CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'];
const CALL = {method: 'POST', path: '/v1/tasks', body: {}} as const;

/** Calls two entries; returns the number of requests that each received. */
async function callBoth(code: string): Promise<readonly number[]> {
  const entries = [
    await InterruptedServer.listen(code),
    await InterruptedServer.listen(code),
  ];
  const servers = entries.map(one => one.url);
  const client = new EntryClient(servers, 'token');
  await client.call(CALL, v.unknown()).catch(() => undefined);
  for (const entry of entries) await entry.close();
  return entries.map(one => one.requestCount);
}

describe('entry client', () => {
  describe('of an entry whose path rejects packets', test => {
    for (const code of CODES) {
      test(`sends no other entry what it has sent before ${code}`, async () => {
        assert.equal(await callBoth(code), [1, 0]);
      });
    }
  });
});
