import {
  ChicoryspringError,
  toChicoryspringError,
} from '@chicoryspring/contracts';
import type {CommandResult} from '../command/command_result_types.js';

const FORMATS = ['text', 'json'];

/** Writes results to standard output, progress and errors to standard error. */
export class Output {
  private constructor(private readonly isJson: boolean) {}

  /** Creates an output in the format given by `--output`. */
  static of(format: unknown): Output {
    if (FORMATS.includes(String(format))) return new Output(format === 'json');
    const message = `--output must be one of ${FORMATS.join(', ')}`;
    throw new ChicoryspringError('settings-invalid', message);
  }

  static get text(): Output {
    return new Output(false);
  }

  result(result: CommandResult): void {
    if (this.isJson) console.log(JSON.stringify(result.value, null, 2));
    else if (result.lines.length > 0) console.log(result.lines.join('\n'));
  }

  progress(line: string): void {
    console.error(line);
  }

  error(thrown: unknown): void {
    const {kind, message, details} = toChicoryspringError(thrown);
    if (this.isJson) {
      console.error(JSON.stringify({kind, message, details}, null, 2));
      return;
    }
    console.error(`chicoryspring: ${kind}: ${message}`);
    for (const detail of details) console.error(`  ${detail}`);
  }
}
