import * as assert from 'uvu/assert';
import {CallerAuthenticator} from '@chicoryspring/callers';
import {SystemClock} from '@chicoryspring/contracts';
import {jsonAnswer} from '@chicoryspring/http-server';
import {TextMetrics} from '@chicoryspring/observability';
import {describe} from '@chicoryspring/testing';
import {RouteGuard} from './route_guard.js';
import {RouteMeter} from './route_meter.js';

const ROUTE = {
  access: 'caller',
  method: 'POST',
  path: '/v1/tasks',
  answer: async () => jsonAnswer(200, {}),
} as const;

describe('route of callers', () => {
  describe('with a request without a token', test => {
    test('refuses it before its body is read, and counts it', async () => {
      const metrics = new TextMetrics();
      const authenticator = new CallerAuthenticator(
        () => [],
        () => 0,
      );
      const guard = new RouteGuard(authenticator, ({kind}) =>
        metrics.increment('entry.access_refusals', {kind}),
      );
      const meter = new RouteMeter(metrics, new SystemClock());
      const {admit} = meter.measure(guard.guard(ROUTE));
      assert.throws(() => admit?.({}), /a token is required/);
      const text = await metrics.render();
      assert.match(text, /access_refusals[^}]*"unauthenticated"[^}]*} 1/);
      assert.match(text, /requests[^}]*"unauthenticated"[^}]*} 1/);
    });
  });
});
