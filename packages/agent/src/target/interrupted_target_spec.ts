import * as assert from 'uvu/assert';
import {
  SystemClock,
  toChicoryspringError,
  type ServiceRequest,
} from '@chicoryspring/contracts';
import {InterruptedServer, describe} from '@chicoryspring/testing';
import {TargetClient} from './target_client.js';

const TIMEOUT_MILLISECONDS = 2_000;

const clock = new SystemClock();

function newRequest(): ServiceRequest {
  return {
    id: 'one',
    caller: 'rangers',
    service: 'records',
    idempotent: false,
    contentType: 'text/plain',
    body: 'log',
    deadline: clock.now() + TIMEOUT_MILLISECONDS,
  };
}

async function outcomeOf(client: TargetClient): Promise<string> {
  const failure = await client.serve(newRequest()).catch(thrown => thrown);
  return toChicoryspringError(failure).answer.outcome;
}

describe('target client', () => {
  describe('of a target whose path rejects packets', test => {
    test('calls a request that was sent unknown, and one that was not not-run', async () => {
      const target = await InterruptedServer.listen('ECONNREFUSED');
      const {url} = target;
      const announcement = {service: 'records', url, slots: 1, connections: 1};
      const client = new TargetClient(announcement, clock);
      const sent = await outcomeOf(client);
      await target.close();
      const unsent = await outcomeOf(client);
      assert.is(target.requestCount, 1);
      assert.equal({sent, unsent}, {sent: 'unknown', unsent: 'not-run'});
    });
  });
});
