/**
 * Runs every compiled spec, each in a process of its own, and ends with the
 * line `N passed, N failed`. `--only TEXT` runs only files with TEXT in their
 * path.
 *
 * Known failing tests, listed in KNOWN-RED.txt, are printed and not counted.
 * The exit code is 1 if any other test failed or none passed. Specs that start
 * processes run after the others, and fewer of them at once; those that send a
 * crowd of clients run last, one at a time.
 */
import {readdirSync} from 'node:fs';
import {cac} from 'cac';
import {KnownRedList} from './known_red_list.js';
import {runSpec} from './spec_process.js';
import type {SpecResult} from './spec_result_types.js';

/** Path of a compiled spec of a package or of the `platform` folder. */
const SPEC_PATH = /^(packages\/[^/]+|platform)\/dist\/.*_spec\.js$/;
const PROCESS_SPEC_SUFFIX = 'process_spec.js';
/** Specs that measure the memory of a process under a crowd of clients. */
const CROWD_SPEC_SUFFIX = 'crowd_process_spec.js';
const MAX_CONCURRENT_UNIT_SPECS = 6;
const MAX_CONCURRENT_PROCESS_SPECS = 2;

async function runAll(
  files: readonly string[],
  concurrency: number,
): Promise<readonly SpecResult[]> {
  const queued = [...files];
  const results: SpecResult[] = [];
  const runNext = async (): Promise<void> => {
    for (let file = queued.shift(); file; file = queued.shift()) {
      results.push(await runSpec(file));
    }
  };
  await Promise.all(Array.from({length: concurrency}, runNext));
  return results;
}

function report(results: readonly SpecResult[]): number {
  const knownRed = new KnownRedList('KNOWN-RED.txt');
  let passed = 0;
  let failed = 0;
  for (const result of results) {
    const listed = result.failedTests.filter(name => knownRed.includes(name));
    for (const name of listed) console.log(`known red: ${name}`);
    passed += result.passed;
    failed += result.failed - listed.length;
    if (result.failed > listed.length) {
      console.log(`\n${result.file}\n${result.output}`);
    }
  }
  console.log(`${passed} passed, ${failed} failed`);
  return failed === 0 && passed > 0 ? 0 : 1;
}

const commandLine = cac('runner');
commandLine.option('--only <text>', 'Run the spec files whose path has TEXT');
commandLine.help();
const {options} = commandLine.parse();
if (options['help']) process.exit();
const only = String(options['only'] ?? '');
const ROOTS = ['packages', 'platform'];
const found = ROOTS.flatMap(root =>
  readdirSync(root, {recursive: true}).map(path => `${root}/${String(path)}`),
)

  .filter(path => SPEC_PATH.test(path))
  .sort();
const chosen = found.filter(file => file.includes(only));
const unitSpecs = chosen.filter(file => !file.endsWith(PROCESS_SPEC_SUFFIX));
const crowdSpecs = chosen.filter(file => file.endsWith(CROWD_SPEC_SUFFIX));
const processSpecs = chosen.filter(
  file => file.endsWith(PROCESS_SPEC_SUFFIX) && !crowdSpecs.includes(file),
);
const results = [
  ...(await runAll(unitSpecs, MAX_CONCURRENT_UNIT_SPECS)),
  ...(await runAll(processSpecs, MAX_CONCURRENT_PROCESS_SPECS)),
  ...(await runAll(crowdSpecs, 1)),
];
process.exitCode = report(results);
