import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import type {ConfigurationObject} from '../objects/configuration_object_types.js';
import {checkSafety} from './configuration_safety.js';

const CAPACITY = {processors: 16, memoryMebibytes: 1_024, accelerators: 0};
const SMALL = {processors: 1, memoryMebibytes: 1, accelerators: 0};
const LARGE = {processors: 17, memoryMebibytes: 1, accelerators: 0};

function domain(name: string, inService: boolean): ConfigurationObject {
  return {kind: 'FailureDomain', name, spec: {inService}};
}

function team(quota: typeof SMALL): ConfigurationObject {
  return {kind: 'Team', name: 'peatland', spec: {quota, mayBeUrgent: false}};
}

interface SafetyCase {
  readonly what: string;
  readonly before: readonly ConfigurationObject[];
  readonly after: readonly ConfigurationObject[];
  readonly objectsInUse?: readonly string[];
  readonly isCapacityKnown?: boolean;
  readonly unsafe: readonly string[];
}

const CASES: readonly SafetyCase[] = [
  {
    what: 'one of two domains is taken out',
    before: [domain('a', true), domain('b', true)],
    after: [domain('a', false), domain('b', true)],
    unsafe: [],
  },
  {
    what: 'the last domain is taken out',
    before: [domain('a', false), domain('b', true)],
    after: [domain('a', false), domain('b', false)],
    unsafe: [''],
  },
  {
    what: 'another change while every domain is out',
    before: [domain('a', false)],
    after: [domain('a', false), team(SMALL)],
    unsafe: [],
  },
  {
    what: 'a new quota above the capacity',
    before: [],
    after: [team(LARGE)],
    unsafe: ['Team/peatland'],
  },
  {
    what: 'an unchanged quota above the capacity',
    before: [team(LARGE)],
    after: [team(LARGE)],
    unsafe: [],
  },
  {
    what: 'a quota while no worker is known',
    before: [],
    after: [team(LARGE)],
    isCapacityKnown: false,
    unsafe: [],
  },
  {
    what: 'an object in use is removed',
    before: [domain('a', true), domain('b', true), team(SMALL)],
    after: [domain('b', true)],
    objectsInUse: ['Team/peatland', 'FailureDomain/b'],
    unsafe: ['Team/peatland'],
  },
];

describe('configuration', () => {
  describe('safety', test => {
    for (const one of CASES) {
      test(one.what, () => {
        const {before, after, isCapacityKnown = true} = one;
        const objectsInUse = new Set(one.objectsInUse);
        const capacity = isCapacityKnown ? CAPACITY : undefined;
        const found = checkSafety({before, after}, {capacity, objectsInUse});
        assert.equal(
          found.map(finding => finding.object),
          one.unsafe,
        );
      });
    }
  });
});
