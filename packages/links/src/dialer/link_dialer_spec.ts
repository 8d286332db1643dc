import * as assert from 'uvu/assert';
import {ManualClock, describe} from '@chicoryspring/testing';
import {LinkMethodRegistry} from '../method/link_method_registry.js';
import {LinkDialer} from './link_dialer.js';

const ATTEMPTS = 3;
const RETRY_MILLISECONDS = 2_000;
const LINK_KEY = 'spec-link-key-0123456789';

const UNUSABLE_URLS = [
  'ws://127.0.0.1:99999',
  'ws://127.0.0.1:-1',
  'ws://127.0.0.1:NaN',
  'ws://a b:1',
  'ws://',
  '127.0.0.1:1',
  '',
];

describe('link dialer', () => {
  describe('of a URL that can not be dialled', test => {
    for (const url of UNUSABLE_URLS) {
      test(`does not end its loop: "${url}"`, async () => {
        const clock = new ManualClock();
        const registry = new LinkMethodRegistry();
        const dialer = new LinkDialer(url, registry, clock, LINK_KEY);
        let hasEnded = false;
        const end = () => void (hasEnded = true);
        const running = dialer.run(async () => undefined);
        const ended = running.then(end, end);
        for (let attempt = 0; attempt < ATTEMPTS; attempt += 1)
          await clock.advance(RETRY_MILLISECONDS);
        assert.is(hasEnded, false);
        dialer.stop();
        await ended;
        await running;
      });
    }
  });
});
