import {once} from 'node:events';
import {connect, type AddressInfo, type Socket} from 'node:net';
import * as assert from 'uvu/assert';
import {SystemClock, planStop} from '@chicoryspring/contracts';
import {describe} from '@chicoryspring/testing';
import {jsonAnswer} from '../answer/json_answer.js';
import {HttpServer} from './http_server.js';
import {DEFAULT_HTTP_LIMITS} from './default_http_limits.js';

const HOST = '127.0.0.1';
const ROUTE = {
  method: 'POST' as const,
  path: '/echo',
  answer: async () => jsonAnswer(200, {}),
};

interface LimitCase {
  readonly what: string;
  readonly header: string;
  readonly body: string;
  readonly status: string;
}

const CASES: readonly LimitCase[] = [
  {what: 'a request within', header: 'x', body: 'x', status: '200'},
  {what: 'a long header', header: 'x'.repeat(600), body: 'x', status: '431'},
  {what: 'a long body', header: 'x', body: 'x'.repeat(101), status: '413'},
];

async function stopNow(server: HttpServer): Promise<void> {
  const terms = {
    graceMilliseconds: 6_000,
    noticeMilliseconds: 0,
    holdMilliseconds: 0,
  };
  await server.stop(planStop(new SystemClock().now(), terms));
}

async function openConnection(server: HttpServer): Promise<Socket> {
  const {port} = server.server.address() as AddressInfo;
  const socket = connect(port, HOST);
  await once(socket, 'connect');
  return socket;
}

describe('http server', () => {
  describe('limits', (test, hooks) => {
    const server = new HttpServer([ROUTE], {
      ...DEFAULT_HTTP_LIMITS,
      headerBytes: 500,
      bodyBytes: 100,
      connections: 1,
    });
    hooks.before(() => server.listen(HOST, 0));
    hooks.after(() => stopNow(server));

    for (const {what, header, body, status} of CASES) {
      test(`${what} is answered with ${status}`, async () => {
        const socket = await openConnection(server);
        const closed = once(socket, 'close');
        const answered = once(socket, 'data');
        const {length} = body;
        socket.write(
          `POST /echo HTTP/1.1\r\nhost: a\r\nx: ${header}\r\ncontent-length: ${length}\r\n\r\n${body}`,
        );
        const [bytes] = (await answered) as [Buffer];
        assert.match(bytes.toString(), `HTTP/1.1 ${status}`);
        socket.end();
        await closed;
      });
    }

    test('a connection over the limit is closed', async () => {
      const first = await openConnection(server);
      const second = await openConnection(server);
      await once(second, 'close');
      const closed = once(first, 'close');
      first.end();
      await closed;
    });
  });
});
