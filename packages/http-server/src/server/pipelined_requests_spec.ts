import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import * as assert from 'uvu/assert';
import {SystemClock, planStop} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {jsonAnswer} from '../answer/json_answer.js';
import type {HttpRequest} from '../request/http_request_types.js';
import {RawConnection} from '../spec/raw_connection.js';
import {DEFAULT_HTTP_LIMITS} from './default_http_limits.js';
import {HttpCapacity} from './http_capacity.js';
import type {HttpRefusal} from './http_refusal_types.js';
import {HttpServer} from './http_server.js';

const LIMIT = DEFAULT_HTTP_LIMITS.requestsPerConnection;
const REQUEST = 'GET /wait HTTP/1.1\r\nhost: a\r\n\r\n';
const TERMS = {
  graceMilliseconds: 6_000,
  noticeMilliseconds: 0,
  holdMilliseconds: 5_000,
};
const POLL_MILLISECONDS = 5;

/** A server whose route waits until its peer has disconnected. */
class WaitingServer {
  begun = 0;
  left = 0;
  private readonly clock = new SystemClock();
  readonly refusals: HttpRefusal[] = [];
  private readonly server = new HttpServer(
    [{method: 'GET', path: '/wait', answer: request => this.wait(request)}],
    undefined,
    this.clock,
    HttpCapacity.ofProcess(undefined, this.clock, reason =>
      this.refusals.push(reason),
    ),
  );

  async open(): Promise<RawConnection> {
    await this.server.listen('127.0.0.1', 0);
    const {port} = this.server.server.address() as AddressInfo;
    return (await RawConnection.open(port))!;
  }

  async whenBegun(count: number): Promise<void> {
    while (this.begun < count) await sleep(POLL_MILLISECONDS);
  }

  async stop(): ReturnType<HttpServer['stop']> {
    return await this.server.stop(planStop(this.clock.now(), TERMS));
  }

  private async wait({closed}: HttpRequest) {
    this.begun += 1;
    await new Promise(resolve => closed.addEventListener('abort', resolve));
    this.left += 1;
    return jsonAnswer(200, {});
  }
}

describe('HTTP server with requests one behind the other', () => {
  describe('whose client leaves before the first answer', test => {
    test('tells every route and has none in progress', async () => {
      const server = new WaitingServer();
      const connection = await server.open();
      connection.send(REQUEST.repeat(5));
      await server.whenBegun(5);
      connection.close();
      await sleep(100);
      const {left} = server;
      const {inProgress, unanswered} = await server.stop();
      assert.equal([left, inProgress, unanswered], [5, 0, 0]);
    });
  });

  describe('as many as the limit', test => {
    test('begins them all', async () => {
      const server = new WaitingServer();
      const connection = await server.open();
      connection.send(REQUEST.repeat(LIMIT));
      await server.whenBegun(LIMIT);
      await sleep(100);
      assert.is(server.left, 0);
      connection.close();
      await server.stop();
    });
  });

  describe('more than the limit', test => {
    test('closes the connection and begins none above it', async () => {
      const server = new WaitingServer();
      const connection = await server.open();
      connection.send(REQUEST.repeat(LIMIT + 10));
      await server.whenBegun(LIMIT);
      await sleep(100);
      const {begun, left, refusals} = server;
      connection.close();
      await server.stop();
      assert.equal([begun, left], [LIMIT, LIMIT]);
      assert.equal(refusals, ['requests-in-progress']);
    });
  });
});
