import * as assert from 'uvu/assert';
import {NoOpStateLog} from '@chicoryspring/observability';
import {describe} from '@chicoryspring/testing';
import {FleetValues} from './fleet_values.js';

const OWNERS = '/chicoryspring/live/owners/';
const ODD_KEYS = ['x', '', '1', '0x01', '00001', '-001', '1e999', '99999'];

describe('an odd key among the owners of shards', () => {
  describe('in a list', test => {
    for (const odd of ODD_KEYS) {
      test(`names no shard: "${odd}"`, () => {
        const fleet = new FleetValues(new NoOpStateLog());
        fleet.replaceAll([
          {key: `${OWNERS}0001`, value: 'a', revision: 1},
          {key: `${OWNERS}${odd}`, value: 'b', revision: 2},
        ]);
        assert.equal([...fleet.owners], [[1, 'a']]);
      });
    }
  });

  describe('in a change', test => {
    for (const odd of ODD_KEYS) {
      test(`leaves the owners as they are: "${odd}"`, () => {
        const fleet = new FleetValues(new NoOpStateLog());
        fleet.set(`${OWNERS}0001`, 'a');
        fleet.set(`${OWNERS}${odd}`, 'b');
        fleet.set(`${OWNERS}${odd}`, undefined);
        assert.equal([...fleet.owners], [[1, 'a']]);
      });
    }
  });
});
