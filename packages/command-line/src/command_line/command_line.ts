import {cac, type CAC} from 'cac';
import {
  ChicoryspringError,
  toChicoryspringError,
} from '@chicoryspring/contracts';
import {createEntryClient} from '../client/entry_client_factory.js';
import {COMMAND_REGISTRY} from '../command/command_registry.js';
import type {CommandResult} from '../command/command_result_types.js';
import type {Command} from '../command/command_types.js';
import {EXIT_CODE_TABLE} from '../exit/exit_code_table.js';
import {exitNameForError} from '../exit/exit_name_for_error.js';
import {Output} from '../output/output.js';

type Environment = Readonly<Record<string, string | undefined>>;
type Options = Readonly<Record<string, unknown>>;

/** Parses the arguments, runs the command and determines the exit code. */
export class CommandLine {
  private output = Output.text;
  private exitCode: number = EXIT_CODE_TABLE.done.code;

  constructor(private readonly environment: Environment) {}

  /** Runs the command that the arguments name and returns the exit code. */
  async run(commandArguments: readonly string[]): Promise<number> {
    const parser = this.createParser();
    try {
      parser.parse([...commandArguments], {run: false});
      if (parser.matchedCommand) await parser.runMatchedCommand();
      else this.rejectUnmatched(parser);
    } catch (thrown) {
      this.reportError(isParserError(thrown) ? toUsageError(thrown) : thrown);
    }
    return this.exitCode;
  }

  private createParser(): CAC {
    const parser = cac('chicoryspring');
    for (const command of COMMAND_REGISTRY) this.register(parser, command);
    parser.option('--server <urls>', 'Entry URLs, separated by commas');
    parser.option('--output <format>', 'text or json', {default: 'text'});
    parser.help(sections => [
      ...sections,
      {title: 'Environment', body: ENVIRONMENT_HELP},
      {title: 'Exit codes', body: exitCodeHelp()},
    ]);
    return parser;
  }

  private register(parser: CAC, command: Command): void {
    const registered = parser.command(command.usage, command.description);
    for (const {flag, description} of command.options) {
      registered.option(flag, description);
    }
    for (const example of command.examples) registered.example(example);
    registered.action(async (...values: readonly unknown[]) => {
      const options = values.at(-1) as Options;
      const positionalArguments = values.slice(0, -1).flat().filter(isString);
      this.reportResult(
        await this.invoke(command, positionalArguments, options),
      );
    });
  }

  private async invoke(
    command: Command,
    positionalArguments: readonly string[],
    options: Options,
  ): Promise<CommandResult> {
    this.output = Output.of(options['output']);
    const server = options['server'];
    const client = createOnce(() =>
      createEntryClient(
        server === undefined ? undefined : String(server),
        this.environment,
      ),
    );
    const progress = (line: string) => this.output.progress(line);
    return await command.run({
      positionalArguments,
      options,
      client,
      progress,
    });
  }

  private reportResult(result: CommandResult): void {
    this.output.result(result);
    this.exitCode = EXIT_CODE_TABLE[result.exit].code;
  }

  /** Reports a missing or unknown command, unless `--help` was given. */
  private rejectUnmatched(parser: CAC): void {
    if (parser.options['help']) return;
    const [name] = parser.args;
    if (name === undefined) parser.outputHelp();
    const message =
      name === undefined ? 'a command is needed' : `no command ${name}`;
    this.reportError(new ChicoryspringError('settings-invalid', message));
  }

  private reportError(thrown: unknown): void {
    this.output.error(thrown);
    const exit = exitNameForError(toChicoryspringError(thrown));
    this.exitCode = EXIT_CODE_TABLE[exit].code;
  }
}

const ENVIRONMENT_HELP = [
  '  CHICORYSPRING_SERVER  entry URLs, separated by commas; --server overrides it',
  '  CHICORYSPRING_TOKEN   token of the operator or caller; never an option',
].join('\n');

function exitCodeHelp(): string {
  return Object.values(EXIT_CODE_TABLE)
    .map(({code, meaning}) => `  ${code}  ${meaning}`)
    .join('\n');
}

function isString(value: unknown): value is string {
  return typeof value === 'string';
}

function isParserError(thrown: unknown): thrown is Error {
  return thrown instanceof Error && thrown.name === 'CACError';
}

function toUsageError(thrown: Error): ChicoryspringError {
  return new ChicoryspringError('settings-invalid', thrown.message);
}

function createOnce<T>(create: () => T): () => T {
  let created: {readonly value: T} | undefined;
  return () => (created ??= {value: create()}).value;
}
