import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {ownerCandidates} from './owner_candidates.js';

const LINK_URL = 'ws://127.0.0.1:1';

function candidatesOf(rates: Readonly<Record<string, number | undefined>>) {
  return ownerCandidates(
    Object.entries(rates).map(([name, megabitsPerSecond]) => ({
      name,
      linkUrl: LINK_URL,
      megabitsPerSecond,
    })),
  );
}

describe('owner candidates', () => {
  describe('with known rates', test => {
    test('leave out entries with a much slower connection', () => {
      assert.equal(candidatesOf({a: 10, b: 200, c: 100, d: 99}), ['b', 'c']);
    });

    test('are all entries where the fast ones are gone', () => {
      assert.equal(candidatesOf({a: 10, d: 10}), ['a', 'd']);
    });

    test('leave out entries of unknown rate', () => {
      assert.equal(candidatesOf({a: undefined, b: 10}), ['b']);
    });
  });

  describe('without known rates', test => {
    test('are all entries', () => {
      assert.equal(candidatesOf({a: undefined, b: undefined}), ['a', 'b']);
    });

    test('are none without entries', () => {
      assert.equal(candidatesOf({}), []);
    });
  });
});
