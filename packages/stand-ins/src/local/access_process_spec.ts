import * as assert from 'uvu/assert';
import {request} from 'undici';
import {EntryProcess} from '@chicoryspring/entry';
import {createRouteRegistry} from '@chicoryspring/entry/http/route_registry.js';
import {describe} from '@chicoryspring/testing';
import {LocalFleetStarter} from './local_fleet_starter.js';

const BASE_PORT = 22_000;
const EXISTING_SERVICE = 'records';

const starter = new LocalFleetStarter({
  entries: 1,
  workers: 1,
  failureDomains: 1,
  basePort: BASE_PORT,
  shards: 2,
});
const fleet = await starter.start();

/** Never started; only its routes are read. */
const unstarted = new EntryProcess({
  name: 'unstarted',
  failureDomain: 'kinangop',
  host: '127.0.0.1',
  port: 1,
  storeUrl: 'http://127.0.0.1:1',
  shardCount: 1,
  routingPolicy: 'power-of-choices',
  linkKey: 'k'.repeat(16),
  operatorTokenHash: 'a'.repeat(64),
});

type Route = ReturnType<typeof createRouteRegistry>[number];

interface AccessCase {
  readonly what: string;
  readonly token: string | undefined;
  /** Error kind of each access; undefined where the guard lets it pass. */
  readonly kinds: Readonly<Record<Route['access'], string | undefined>>;
}

const UNAUTHENTICATED = {
  public: undefined,
  caller: 'unauthenticated',
  operator: 'unauthenticated',
};

const CASES: readonly AccessCase[] = [
  {what: 'no token', token: undefined, kinds: UNAUTHENTICATED},
  {what: 'an empty token', token: '', kinds: UNAUTHENTICATED},
  {what: 'a wrong token', token: 'wrong', kinds: UNAUTHENTICATED},
  {
    what: "a caller's token",
    token: fleet.callerTokens['villages'],
    kinds: {public: undefined, caller: undefined, operator: 'forbidden'},
  },
];

async function ask(
  method: Route['method'],
  path: string,
  token: string | undefined,
): Promise<{readonly status: number; readonly kind: string | undefined}> {
  const answer = await request(`${fleet.entries[0]!.url}${path}`, {
    method,
    headers: token === undefined ? {} : {authorization: `Bearer ${token}`},
    body: method === 'GET' ? null : '{}',
  });
  const text = await answer.body.text();
  const kind = /"kind":"([a-z-]+)"/.exec(text)?.[1];
  return {status: answer.statusCode, kind};
}

async function submitAsRangers(): Promise<string> {
  const answer = await request(`${fleet.entries[0]!.url}/v1/tasks`, {
    method: 'POST',
    headers: {authorization: `Bearer ${fleet.callerTokens['rangers']}`},
    body: JSON.stringify(fleet.exampleTask),
  });
  return ((await answer.body.json()) as {readonly id: string}).id;
}

describe('access', (_, hooks) => {
  hooks.after(() => starter.stop());
  const routes = createRouteRegistry(unstarted);

  describe('of every route', test => {
    for (const route of routes) {
      for (const {what, token, kinds} of CASES) {
        const expected = kinds[route.access];
        const {method, path} = route;
        test(`${method} ${path} with ${what}`, async () => {
          const concrete = path
            .replace(':service', EXISTING_SERVICE)
            .replace(/:[a-z]+/g, 'none');
          const {kind} = await ask(method, concrete, token);
          if (expected) assert.is(kind, expected);
          const isRefused = kind === 'unauthenticated' || kind === 'forbidden';
          assert.is(isRefused, expected !== undefined, kind);
        });
      }
    }
  });

  describe('of another team', test => {
    for (const {method, path} of routes) {
      if (!path.startsWith('/v1/tasks/:id')) continue;
      test(`${method} ${path} finds nothing`, async () => {
        const id = await submitAsRangers();
        const token = fleet.callerTokens['villages'];
        const {status, kind} = await ask(
          method,
          path.replace(':id', id),
          token,
        );
        assert.is(status, 404);
        assert.is(kind, 'unknown-object');
      });
    }
  });
});
