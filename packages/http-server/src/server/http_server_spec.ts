import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {Worker} from 'node:worker_threads';
import * as assert from 'uvu/assert';
import {SystemClock, planStop} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {jsonAnswer} from '../answer/json_answer.js';
import {HttpServer} from './http_server.js';

/** Time from the call of `stop` to the closing of idle connections. */
const NOTICE_MILLISECONDS = 1_000;
const TERMS = {
  graceMilliseconds: 6_000,
  noticeMilliseconds: NOTICE_MILLISECONDS,
  holdMilliseconds: 0,
};
const BLOCKED_MILLISECONDS = 300;

/**
 * A client with a thread of its own: it sends one request, and another on the
 * same connection when it is told to.
 */
const CLIENT = `
const {request, Agent} = require('node:http');
const {parentPort, workerData} = require('node:worker_threads');
const agent = new Agent({keepAlive: true, maxSockets: 1});
const kept = {path: '/', isKept: true, delay: 0};
function ask({path, isKept, delay}) {
  if (delay > 0) return setTimeout(ask, delay, {path, isKept, delay: 0});
  const options = {...workerData, path, agent: isKept ? agent : false};
  const call = request(options, response => {
    response.resume();
    response.on('end', () => parentPort.postMessage(response.statusCode));
  });
  call.on('error', thrown => parentPort.postMessage(thrown.code));
  call.end();
}
parentPort.on('message', asked => asked.forEach(ask));
ask(kept);
`;

const KEPT = {path: '/', isKept: true, delay: 0};

/** Blocks the event loop, as a busy machine does. */
function block(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

async function createFixture() {
  const answer = async () => jsonAnswer(200, {});
  const busyAnswer = async () => {
    block(BLOCKED_MILLISECONDS);
    return await answer();
  };
  const server = new HttpServer([
    {method: 'GET', path: '/', answer},
    {method: 'GET', path: '/busy', answer: busyAnswer},
  ]);
  await server.listen('127.0.0.1', 0);
  const {port} = server.server.address() as AddressInfo;
  const workerData = {host: '127.0.0.1', port};
  const client = new Worker(CLIENT, {eval: true, workerData});
  const [status] = await once(client, 'message');
  assert.is(status, 200);
  return {server, client};
}

describe('HTTP server', () => {
  describe('that closes', test => {
    test('answers a request that arrived while the process was busy', async () => {
      const {server, client} = await createFixture();
      const closed = server.stop(planStop(new SystemClock().now(), TERMS));
      const outcome = once(client, 'message');
      const wait = NOTICE_MILLISECONDS - BLOCKED_MILLISECONDS / 2;
      await new Promise(resolve => setTimeout(resolve, wait));
      // Due timers run next, before what has arrived meanwhile is read.
      await new Promise(resolve => setImmediate(resolve));
      client.postMessage([KEPT]);
      block(BLOCKED_MILLISECONDS);
      assert.equal(await outcome, [200]);
      await closed;
      await client.terminate();
    });

    test('answers a connection that arrived during the last busy poll', async () => {
      const {server, client} = await createFixture();
      const closed = server.stop(planStop(new SystemClock().now(), TERMS));
      const outcomes: unknown[] = [];
      client.on('message', outcome => outcomes.push(outcome));
      const wait = NOTICE_MILLISECONDS - BLOCKED_MILLISECONDS / 2;
      await new Promise(resolve => setTimeout(resolve, wait));
      await new Promise(resolve => setImmediate(resolve));
      const delay = BLOCKED_MILLISECONDS * 1.3;
      client.postMessage([
        {...KEPT, path: '/busy'},
        {...KEPT, isKept: false, delay},
      ]);
      block(BLOCKED_MILLISECONDS);
      await closed;
      while (outcomes.length < 2) await once(client, 'message');
      assert.equal(outcomes, [200, 200]);
      await client.terminate();
    });
  });
});
