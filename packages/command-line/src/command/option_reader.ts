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
      throw new ChicoryspringError('settings-invalid', `${name} given twice`);
    }
    return value === undefined ? undefined : String(value);
  }

  /** A number from zero up. */
  amount(name: string, standard: number): number {
    const text = this.text(name);
    const amount = text === undefined ? standard : Number(text);
    if (text !== '' && Number.isFinite(amount) && amount >= 0) return amount;
    const message = `--${name} must be a number from 0 up, not ${text}`;
    throw new ChicoryspringError('settings-invalid', message);
  }

  /** A time that is given in seconds, in milliseconds. */
  milliseconds(name: string, standardSeconds: number): number {
    return this.amount(name, standardSeconds) * MILLISECONDS_PER_SECOND;
  }
}
