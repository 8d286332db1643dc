import {once} from 'node:events';
import {connect} from 'node:net';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {isConnectFailure} from './connect_failure.js';

/** A port at which nothing listens. */
const UNUSED_PORT = 1;
/** A name that no resolver knows. */
const UNKNOWN_NAME = 'unknown.invalid';

function systemError(code: string, syscall?: string): Error {
  return Object.assign(new Error(code), {code, syscall});
}

async function errorOfConnecting(host: string): Promise<unknown> {
  const socket = connect(UNUSED_PORT, host);
  const [error] = await once(socket, 'error');
  return error;
}

const refused = systemError('ECONNREFUSED', 'connect');
const unreachable = systemError('EHOSTUNREACH', 'connect');
const lost = systemError('ECONNREFUSED', 'read');

const CASES: readonly {
  readonly what: string;
  readonly thrown: unknown;
  readonly expected: boolean;
}[] = [
  {what: 'a refused attempt', thrown: refused, expected: true},
  {what: 'an attempt without a route', thrown: unreachable, expected: true},
  {
    what: 'an attempt that timed out',
    thrown: systemError('UND_ERR_CONNECT_TIMEOUT'),
    expected: true,
  },
  {
    what: 'attempts at each address of a name',
    thrown: new AggregateError([refused, unreachable]),
    expected: true,
  },
  {what: 'a refusal of an established one', thrown: lost, expected: false},
  {
    what: 'an attempt and an established one',
    thrown: new AggregateError([refused, lost]),
    expected: false,
  },
  {
    what: 'a write without a route',
    thrown: systemError('EHOSTUNREACH', 'write'),
    expected: false,
  },
  {what: 'a reset', thrown: systemError('ECONNRESET'), expected: false},
  {what: 'no errors', thrown: new AggregateError([]), expected: false},
  {what: 'no error', thrown: undefined, expected: false},
];

describe('connect failure', () => {
  describe('is told from a connection that was lost', test => {
    for (const {what, thrown, expected} of CASES) {
      test(`${what}: ${expected}`, () => {
        assert.is(isConnectFailure(thrown), expected);
      });
    }
  });

  describe('of a real connection', test => {
    for (const host of ['127.0.0.1', 'localhost', UNKNOWN_NAME]) {
      test(`to ${host} is one`, async () => {
        assert.ok(isConnectFailure(await errorOfConnecting(host)));
      });
    }
  });
});
