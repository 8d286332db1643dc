import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {LocalFleetStarter} from './local_fleet_starter.js';
import {runCommand} from './spec/command_process.js';

const BASE_PORT = 21_000;
const REFUSING_SERVER = 'http://127.0.0.1:1';

const starter = new LocalFleetStarter({
  basePort: BASE_PORT,
});
const fleet = await starter.start();
const servers = fleet.entries.map(entry => entry.url).join(',');
const folder = mkdtempSync(join(tmpdir(), 'chicoryspring-'));
const set = join(folder, 'set.yaml');
const broken = join(folder, 'broken.yaml');
writeFileSync(broken, 'kind: Rack\nname: Rack\nspec: {failureDomain: none}\n');

const OPERATOR = {
  CHICORYSPRING_SERVER: servers,
  CHICORYSPRING_TOKEN: fleet.operatorToken,
};
const CALLER = {
  ...OPERATOR,
  CHICORYSPRING_TOKEN: fleet.callerTokens['rangers']!,
};
writeFileSync(set, (await runCommand(['get'], OPERATOR)).output);
const RUN = JSON.stringify({workMilliseconds: 20, answer: 'reconciled'});

interface CommandCase {
  readonly words: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
  readonly code: number;
  /** Texts that standard output and standard error hold together. */
  readonly texts: readonly string[];
}

const CASES: readonly CommandCase[] = [
  {words: [], code: 2, texts: ['a command is needed']},
  {words: ['start'], code: 2, texts: ['no command start']},
  {words: ['status', '--colour'], code: 2, texts: ['--colour']},
  {words: ['status', '--output', 'xml'], code: 2, texts: ['text, json']},
  {
    words: ['status'],
    environment: {},
    code: 2,
    texts: ['CHICORYSPRING_SERVER', 'CHICORYSPRING_TOKEN'],
  },
  {
    words: ['status', '--server', 'localhost'],
    code: 2,
    texts: ['is no HTTP URL'],
  },
  {
    words: ['status', '--server', REFUSING_SERVER],
    code: 6,
    texts: [REFUSING_SERVER],
  },
  {
    words: ['status', '--server', `${REFUSING_SERVER},${servers}`],
    code: 0,
    texts: ['StoreConfirmed', 'AgentsLinked'],
  },
  {
    words: ['status'],
    environment: {...OPERATOR, CHICORYSPRING_TOKEN: 'wrong'},
    code: 5,
    texts: ['unauthenticated'],
  },
  {words: ['status'], environment: CALLER, code: 5, texts: ['forbidden']},
  {words: ['check', broken], environment: {}, code: 3, texts: [':2:', ':3:']},
  {words: ['check', 'absent.yaml'], code: 2, texts: ['absent.yaml']},
  {words: ['apply', broken], code: 3, texts: ['broken.yaml:3']},
  {words: ['diff', set], code: 0, texts: ['0 objects differ']},
  {words: ['check', set, '--safety'], code: 0, texts: ['0 findings']},
  {words: ['apply', set], code: 0, texts: ['nothing to change']},
  {words: ['apply', set, '--revision', '1'], code: 4, texts: ['operator']},
  {words: ['apply', set, '--revision', 'x'], code: 2, texts: ['--revision']},
  {words: ['get', 'Rack', 'none'], code: 7, texts: ['Rack/none']},
  {words: ['take-out', 'none'], code: 7, texts: ['none']},
  {
    words: ['take-out', 'kinangop', '--wait'],
    code: 0,
    texts: ['in force everywhere', 'entry-1, entry-2', 'worker-1'],
  },
  {words: ['diff', set], code: 9, texts: ['spec.inService: false -> true']},
  {words: ['take-out', 'ndaragwa'], code: 0, texts: ['out of service']},
  {words: ['take-out', 'kipipiri'], code: 3, texts: ['configuration-unsafe']},
  {
    words: ['take-out', 'kipipiri', '--allow-unsafe'],
    code: 0,
    texts: ['out of service'],
  },
  {words: ['bring-back', 'kinangop'], code: 0, texts: ['is in service']},
  {words: ['bring-back', 'kinangop'], code: 0, texts: ['is in service']},
  {words: ['apply', set], code: 0, texts: ['~ FailureDomain/ndaragwa']},
  {words: ['history'], code: 0, texts: ['changed FailureDomain/kipipiri']},
  {
    words: ['audit', '--action', 'take-out', '--limit', '2'],
    code: 0,
    texts: ['operator', 'FailureDomain/kipipiri', 'FailureDomain/ndaragwa'],
  },
  {
    words: ['audit', '--outcome', 'revision-conflict'],
    code: 0,
    texts: ['from revision 1'],
  },
  {words: ['audit', '--limit', '0'], code: 1, texts: ['at least 1']},
  {words: ['audit', '--action', 'deletion'], code: 1, texts: ['action']},
  {words: ['cancel', 'task-none'], code: 7, texts: ['no such task']},
  {words: ['explain', 'task-none'], code: 7, texts: ['no such task']},
  {
    words: ['submit', 'reconcile', '--input', RUN, '--key', 'season'],
    environment: CALLER,
    code: 0,
    texts: ['task-'],
  },
];

function parseId(output: string): string {
  return (JSON.parse(output) as {readonly id: string}).id;
}

async function submit(...words: readonly string[]): Promise<string> {
  const command = ['submit', 'reconcile', '--output', 'json', ...words];
  const {output} = await runCommand(command, CALLER);
  return parseId(output);
}

describe('command line', (_, hooks) => {
  hooks.after(async () => {
    rmSync(folder, {recursive: true});
    await starter.stop();
  });

  describe('command', test => {
    for (const one of CASES) {
      const name = one.words.join(' ').replaceAll(`${folder}/`, '');
      test(`${name} ends with ${one.code}, ${one.texts[0]}`, async () => {
        const ending = await runCommand(one.words, one.environment ?? OPERATOR);
        const text = ending.output + ending.errors;
        assert.is(ending.code, one.code, text);
        for (const part of one.texts) assert.ok(text.includes(part), text);
      });
    }
  });

  describe('task', test => {
    test('is waited for', async () => {
      const id = await submit('--input', RUN);
      const ended = await runCommand(['wait', id], CALLER);
      assert.is(ended.code, 0, ended.errors);
      assert.match(ended.output, 'reconciled');
    });

    test('that fits nowhere is explained, not waited out, cancelled', async () => {
      const id = await submit('--processors', '15', '--accelerators', '1');
      const blocked = await submit('--processors', '16', '--watch');
      assert.ok(blocked);
      const late = await runCommand(['wait', id, '--within', '0'], CALLER);
      assert.ok([0, 8].includes(late.code ?? -1), late.errors);
      const explained = await runCommand(['explain', id], CALLER);
      assert.match(explained.output, 'owner: entry-');
      const cancelled = await runCommand(['cancel', blocked], CALLER);
      assert.is(cancelled.code, 0);
    });
  });
});
