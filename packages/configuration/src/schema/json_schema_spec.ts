import {readFileSync} from 'node:fs';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {createJsonSchema} from './json_schema.js';

describe('configuration', () => {
  describe('published schema', test => {
    test('of the docs is current; npm run schema writes it', () => {
      const path = 'docs/schema/configuration.schema.json';
      const committed: unknown = JSON.parse(readFileSync(path, 'utf8'));
      assert.equal(committed, JSON.parse(createJsonSchema()));
    });
  });
});
