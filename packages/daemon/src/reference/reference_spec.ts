import {readFileSync} from 'node:fs';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {REFERENCE_PAGE_REGISTRY} from './reference_page_registry.js';

describe('daemon', () => {
  describe('reference pages', test => {
    for (const [path, create] of Object.entries(REFERENCE_PAGE_REGISTRY)) {
      test(`${path} is current; npm run reference writes it`, () => {
        assert.is(readFileSync(path, 'utf8'), create());
      });
    }
  });
});
