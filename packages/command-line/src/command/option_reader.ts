import {ChicoryspringError} from '@chicoryspring/contracts';
import type {Invocation} from './invocation_types.js';

type Options = Invocation['options'];

const MILLISECONDS_PER_SECOND = 1_000;

/** Reads the options of a command. */
export class OptionReader {
  constructor(private readonly options: Options) {}

  /** Whether an option without a value was given. */
  flag(name: string): boolean {
    return this.options[name] === true;
  }

  text(name: string): string | undefined {
    const value = this.options[name];
    if (Array.isArray(value)) {
      throw new ChicoryspringError(
        'settings-invalid',
        `${name} is given more than once`,
      );
    }
    return value === undefined ? undefined : String(value);
  }

  /** Reads a number that is at least zero. */
  amount(name: string, defaultAmount: number): number {
    const text = this.text(name);
    const amount = text === undefined ? defaultAmount : Number(text);
    if (text !== '' && Number.isFinite(amount) && amount >= 0) return amount;
    const message = `--${name} must be a number of at least 0, not ${text}`;
    throw new ChicoryspringError('settings-invalid', message);
  }

  /** Reads a duration in seconds and returns it in milliseconds. */
  milliseconds(name: string, defaultSeconds: number): number {
    return this.amount(name, defaultSeconds) * MILLISECONDS_PER_SECOND;
  }
}
