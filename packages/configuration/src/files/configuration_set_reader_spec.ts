import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {readConfigurationSet} from './configuration_set_reader.js';

const FIRST = `kind: FailureDomain
name: kinangop
spec: {}
---
kind: Rack
name: rack-1
spec:
  failureDomain: ndaragwa
`;
const SECOND = `kind: FailureDomain
name: kinangop
spec:
  inService: perhaps
  colour: green
`;
const BROKEN = `kind: Team
name: [peatland
`;
const ALIASES = `a: &a [x, x, x, x, x, x, x, x, x]
b: &b [*a, *a, *a, *a, *a, *a, *a, *a, *a]
c: &c [*b, *b, *b, *b, *b, *b, *b, *b, *b]
d: [*c, *c, *c, *c, *c, *c, *c, *c, *c]
`;

describe('configuration', () => {
  describe('set of files', (test, hooks) => {
    const folder = mkdtempSync(join(tmpdir(), 'chicoryspring-'));
    hooks.after(() => rmSync(folder, {recursive: true}));
    const write = (name: string, text: string): string => {
      const path = join(folder, name);
      writeFileSync(path, text);
      return path;
    };

    test('reports every finding with its file and line', () => {
      const paths = [
        write('a.yaml', FIRST),
        write('b.yaml', SECOND),
        write('c.yaml', BROKEN),
        write('d.yaml', ALIASES),
      ];
      const {findings} = readConfigurationSet(paths);
      const places = findings.map(one => {
        const file = one.file.slice(folder.length + 1);
        return `${file}:${one.line} ${one.object} ${one.field}`;
      });
      assert.equal(places, [
        'c.yaml:3  ',
        'd.yaml:1  ',
        'a.yaml:8 Rack/rack-1 spec.failureDomain',
        'b.yaml:4 FailureDomain/kinangop spec.inService',
        'b.yaml:5 FailureDomain/kinangop spec.colour',
        'b.yaml:2 FailureDomain/kinangop name',
      ]);
      assert.match(findings.at(-1)!.message, 'a.yaml:2');
    });

    test('reads a folder as one set', () => {
      assert.is(readConfigurationSet([folder]).findings.length, 6);
    });
  });
});
