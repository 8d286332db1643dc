import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

type Variables = Readonly<Record<string, string>>;

interface Command {
  readonly script: string;
  readonly flags: readonly string[];
  readonly variables: Variables;
}

const REAPER = fileURLToPath(new URL('./reaper_main.js', import.meta.url));

/**
 * The processes of a local fleet.
 *
 * A reaper outlives this process for an instant: when its input closes, it
 * kills what is left, so that nothing stays behind.
 */
export class ProcessGroup {
  private readonly commands = new Map<string, Command>();
  private readonly children = new Map<string, ChildProcess>();
  private readonly reaper: ChildProcess;

  constructor() {
    this.reaper = spawn(process.execPath, [REAPER], {
      detached: true,
      stdio: ['pipe', 'ignore', 'ignore'],
    });
    this.reaper.unref();
  }

  /** Starts a script under a name; returns its process id. */
  start(
    name: string,
    script: string,
    flags: readonly string[],
    variables: Variables = {},
  ): number {
    const child = spawn(process.execPath, [script, ...flags], {
      stdio: ['ignore', 'ignore', 'inherit'],
      env: {...process.env, ...variables},
    });
    this.children.set(name, child);
    this.commands.set(name, {script, flags, variables});
    this.reaper.stdin?.write(`${child.pid}\n`);
    return child.pid!;
  }

  /** Starts a named process again, as it was started before. */
  startAgain(name: string): number {
    const {script, flags, variables} = this.commands.get(name)!;
    return this.start(name, script, flags, variables);
  }

  pidOf(name: string): number {
    return this.children.get(name)!.pid!;
  }

  /** Asks the named processes to stop and waits until they have. */
  async stop(names: readonly string[]): Promise<void> {
    await Promise.all(names.map(name => this.stopOne(name)));
  }

  get names(): readonly string[] {
    return [...this.children.keys()];
  }

  private async stopOne(name: string): Promise<void> {
    const child = this.children.get(name);
    this.children.delete(name);
    const hasEnded = child?.exitCode !== null || child?.signalCode !== null;
    if (!child || hasEnded) return;
    const ended = once(child, 'exit');
    child.kill('SIGTERM');
    child.kill('SIGCONT');
    await ended;
  }
}
