import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {defaultSettingsSchema} from '../defaults/default_settings_schema.js';
import {DEFAULT_SETTINGS} from '../defaults/default_settings.js';
import * as v from 'valibot';
import {checkConfiguration} from './configuration_check.js';

const DOMAIN = {kind: 'FailureDomain', name: 'kinangop', spec: {}};
const QUOTA = {processors: 1, memoryMebibytes: 1, accelerators: 0};
const TEAM = {kind: 'Team', name: 'peatland', spec: {quota: QUOTA}};

interface CheckCase {
  readonly what: string;
  readonly objects: readonly unknown[];
  /** `object field` of every finding, in order. */
  readonly findings: readonly string[];
}

const CASES: readonly CheckCase[] = [
  {what: 'a valid set', objects: [DOMAIN, TEAM], findings: []},
  {what: 'an empty set', objects: [], findings: []},
  {
    what: 'an unknown kind',
    objects: [{kind: 'Zone', name: 'a', spec: {}}],
    findings: ['Zone/a kind'],
  },
  {
    what: 'a value that is not an object',
    objects: ['text', null],
    findings: ['unknown kind/object 1 ', 'unknown kind/object 2 '],
  },
  {
    what: 'a name with capitals',
    objects: [{...DOMAIN, name: 'Kinangop'}],
    findings: ['FailureDomain/Kinangop name'],
  },
  {
    what: 'an unknown field and a missing one',
    objects: [{kind: 'Rack', name: 'r', spec: {domain: 'kinangop'}}],
    findings: ['Rack/r spec.failureDomain', 'Rack/r spec.domain'],
  },
  {
    what: 'sizes that are negative, infinite or not a number',
    objects: [
      {
        ...TEAM,
        spec: {
          quota: {
            processors: -1,
            memoryMebibytes: Infinity,
            accelerators: Number.NaN,
          },
        },
      },
    ],
    findings: [
      'Team/peatland spec.quota.processors',
      'Team/peatland spec.quota.memoryMebibytes',
      'Team/peatland spec.quota.accelerators',
    ],
  },
  {
    what: 'several dangling references, all reported',
    objects: [
      {kind: 'Rack', name: 'r', spec: {failureDomain: 'kipipiri'}},
      {
        kind: 'Caller',
        name: 'rangers',
        spec: {team: 'none', tokenHash: 'a'.repeat(64), services: ['x', 'y']},
      },
    ],
    findings: [
      'Rack/r spec.failureDomain',
      'Caller/rangers spec.team',
      'Caller/rangers spec.services',
      'Caller/rangers spec.services',
    ],
  },
  {
    what: 'a reference to an object that is invalid itself',
    objects: [
      {...DOMAIN, spec: {inService: 'yes'}},
      {kind: 'Rack', name: 'r', spec: {failureDomain: 'kinangop'}},
    ],
    findings: ['FailureDomain/kinangop spec.inService'],
  },
  {
    what: 'a dangling reference in an object with an invalid name',
    objects: [{kind: 'Rack', name: 'R', spec: {failureDomain: 'none'}}],
    findings: ['Rack/R name', 'Rack/R spec.failureDomain'],
  },
  {
    what: 'two objects with the same kind and name',
    objects: [DOMAIN, TEAM, DOMAIN],
    findings: ['FailureDomain/kinangop name'],
  },
  {
    what: 'a set that is too large for the store',
    objects: Array.from({length: 10_000}, (_, position) => ({
      kind: 'TaskClass',
      name: `${'c'.repeat(50)}-${position}`,
      spec: {},
    })),
    findings: [' '],
  },
];

describe('configuration check', () => {
  describe('whole set', test => {
    for (const {what, objects, findings} of CASES) {
      test(what, () => {
        const found = checkConfiguration(objects).findings;
        const named = found.map(one => `${one.object} ${one.field}`);
        assert.equal(named, findings);
      });
    }

    test('reports the position of the first object with the same name', () => {
      const [finding] = checkConfiguration([DOMAIN, TEAM, DOMAIN]).findings;
      assert.is(finding?.position, 2);
      assert.is(finding?.otherPosition, 0);
    });
  });

  describe('defaults', test => {
    test('match their schema', () => {
      assert.ok(v.is(defaultSettingsSchema, DEFAULT_SETTINGS));
    });

    test('supply fields that an object omits', () => {
      const {objects} = checkConfiguration([DOMAIN]);
      assert.equal(objects[0]?.spec, {inService: true});
    });
  });
});
