import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {ERROR_TABLE} from './error_table.js';
import {toChicoryspringError} from './error_conversion.js';
import {ChicoryspringError} from './chicoryspring_error.js';

describe('errors', () => {
  describe('table', test => {
    test('has an error status and an operator action for each kind', () => {
      for (const [kind, answer] of Object.entries(ERROR_TABLE)) {
        assert.ok(answer.status >= 400 && answer.status < 600, kind);
        assert.ok(answer.operatorAction.length > 0, kind);
      }
    });
  });

  describe('conversion', test => {
    test('keeps an error of a known kind', () => {
      const original = new ChicoryspringError('draining', 'leaving');
      assert.is(toChicoryspringError(original), original);
    });

    test('makes any other value internal with an unknown outcome', () => {
      const converted = toChicoryspringError(new TypeError('boom'));
      assert.is(converted.kind, 'internal');
      assert.is(converted.answer.outcome, 'unknown');
    });
  });
});
