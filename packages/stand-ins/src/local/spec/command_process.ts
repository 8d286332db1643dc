import {spawn} from 'node:child_process';
import {fileURLToPath} from 'node:url';

const PROGRAM = fileURLToPath(
  import.meta
    .resolve('@chicoryspring/command-line/command_line/command_line_main.js'),
);

interface CommandEnding {
  readonly code: number | null;
  readonly output: string;
  readonly errors: string;
}

/** Runs `chicoryspring` to its end. */
export async function runCommand(
  words: readonly string[],
  environment: Readonly<Record<string, string>>,
): Promise<CommandEnding> {
  const child = spawn(process.execPath, [PROGRAM, ...words], {
    env: {...environment, FORCE_COLOR: '0'},
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let output = '';
  let errors = '';
  child.stdout.on('data', chunk => (output += chunk));
  child.stderr.on('data', chunk => (errors += chunk));
  const code = await new Promise<number | null>(resolve =>
    child.on('close', resolve),
  );
  return {code, output, errors};
}
