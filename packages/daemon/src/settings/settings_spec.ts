import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {ChicoryspringError} from '@chicoryspring/contracts';
import {SETTINGS_TABLE} from './settings_table.js';
import {SettingsReader} from './settings_reader.js';

const FLAGS = {
  name: 'entry-1',
  'failure-domain': 'kinangop',
  'store-url': 'http://127.0.0.1:2379',
  port: '8080',
};
const ENVIRONMENT = {
  CHICORYSPRING_LINK_KEY: 'k'.repeat(16),
  CHICORYSPRING_OPERATOR_TOKEN_HASH: 'a'.repeat(64),
};

function readFaults(
  flags: Readonly<Record<string, string>>,
  environment: Readonly<Record<string, string>>,
): readonly string[] {
  try {
    new SettingsReader(SETTINGS_TABLE.entry, flags, environment).read();
    return [];
  } catch (thrown) {
    return (thrown as ChicoryspringError).details;
  }
}

describe('settings', () => {
  describe('reading', test => {
    test('uses flags, variables and defaults', () => {
      const reader = new SettingsReader(
        SETTINGS_TABLE.entry,
        FLAGS,
        ENVIRONMENT,
      );
      const values = reader.read();
      assert.is(values['name'], 'entry-1');
      assert.is(values['shardCount'], 32);
    });

    test('reports all faults together', () => {
      const faults = readFaults({port: '70000', host: 'somewhere'}, {});
      assert.is(faults.length, 7);
    });

    test('ignores a flag that holds a secret', () => {
      const flags = {...FLAGS, 'link-key': 'k'.repeat(16)};
      const {CHICORYSPRING_OPERATOR_TOKEN_HASH} = ENVIRONMENT;
      const faults = readFaults(flags, {CHICORYSPRING_OPERATOR_TOKEN_HASH});
      assert.equal(faults, ['CHICORYSPRING_LINK_KEY: is missing']);
    });
  });

  describe('printing', test => {
    test('hides secrets', () => {
      const reader = new SettingsReader(
        SETTINGS_TABLE.entry,
        FLAGS,
        ENVIRONMENT,
      );
      const printed = reader.describe().join('\n');
      assert.not.match(printed, ENVIRONMENT.CHICORYSPRING_LINK_KEY);
    });
  });
});
