import {spawn} from 'node:child_process';
import type {SpecResult} from './spec_result_types.js';

const FAILED_TEST = /^\s*FAIL\s+(.*)$/gm;
/**
 * A spec process that runs this long is taken to hang: it is killed and
 * reported as unfinished.
 */
const SPEC_TIMEOUT_MILLISECONDS = 180_000;
// eslint-disable-next-line no-control-regex
const ANSI_COLOR_SEQUENCE = /\u001b\[[0-9;]*m/g;

/**
 * Runs one spec file in a process of its own and parses uvu's summary.
 *
 * A spec without a summary, or with a failing exit code although every test
 * passed, is reported as one failed test: `FILE: did not finish`.
 */
export async function runSpec(file: string): Promise<SpecResult> {
  const child = spawn(process.execPath, [file], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: {...process.env, FORCE_COLOR: '0'},
    timeout: SPEC_TIMEOUT_MILLISECONDS,
    killSignal: 'SIGKILL',
  });
  let output = '';
  child.stdout.on('data', chunk => (output += chunk));
  child.stderr.on('data', chunk => (output += chunk));
  const exitCode = await new Promise<number>(resolve =>
    child.on('close', code => resolve(code ?? 1)),
  );
  return readSummary(file, output.replace(ANSI_COLOR_SEQUENCE, ''), exitCode);
}

function readSummary(
  file: string,
  output: string,
  exitCode: number,
): SpecResult {
  const total = Number(/Total:\s+(\d+)/.exec(output)?.[1] ?? 0);
  const passed = Number(/Passed:\s+(\d+)/.exec(output)?.[1] ?? 0);
  const reportedTests = [...output.matchAll(FAILED_TEST)].map(match =>
    normalizeName(match[1]!),
  );
  const isIncomplete = total === 0 || (exitCode !== 0 && total === passed);
  const failedTests = isIncomplete
    ? [...reportedTests, `${file}: did not finish`]
    : reportedTests;
  const failed = Math.max(total - passed, failedTests.length);
  return {file, passed, failed, failedTests, output};
}

/** Name of a test as KNOWN-RED.txt has it: uvu's, in plain words. */
function normalizeName(printed: string): string {
  return printed.replaceAll('"', '').replace(/\s+/g, ' ').trim();
}
