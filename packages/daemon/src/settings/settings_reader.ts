import * as v from 'valibot';
import {ChicoryspringError} from '@chicoryspring/contracts';
import type {Setting} from './setting_types.js';

const ENVIRONMENT_PREFIX = 'CHICORYSPRING_';

type Texts = Readonly<Record<string, string | undefined>>;

/** Reads the settings of a process from its flags and environment variables. */
export class SettingsReader {
  constructor(
    private readonly settings: readonly Setting[],
    private readonly flags: Texts,
    private readonly environment: Texts,
  ) {}

  /** Name of the environment variable of a setting. */
  static variableName(setting: Setting): string {
    const name = setting.flag.replaceAll('-', '_').toUpperCase();
    return `${ENVIRONMENT_PREFIX}${name}`;
  }

  /**
   * Returns the checked values by camel-case name.
   * One error lists all invalid settings.
   */
  read(): Readonly<Record<string, unknown>> {
    const values: Record<string, unknown> = {};
    const faults: string[] = [];
    for (const setting of this.settings) {
      const checked = v.safeParse(setting.schema, this.readText(setting));
      if (checked.success) values[toCamelCase(setting.flag)] = checked.output;
      else faults.push(this.describeFault(setting, checked.issues));
    }
    if (faults.length === 0) return values;
    const message = `invalid settings:\n  ${faults.join('\n  ')}`;
    throw new ChicoryspringError('settings-invalid', message, faults);
  }

  /** Describes each setting and its text, with secrets hidden. */
  describe(): readonly string[] {
    return this.settings.map(setting => {
      const text = this.readText(setting) ?? '(not set)';
      return `${setting.flag} = ${setting.isSecret ? '(secret)' : text}`;
    });
  }

  private readText(setting: Setting): string | undefined {
    const fromFlag = setting.isSecret ? undefined : this.flags[setting.flag];
    const variable = SettingsReader.variableName(setting);
    return fromFlag ?? this.environment[variable] ?? setting.defaultText;
  }

  private describeFault(
    setting: Setting,
    issues: readonly v.BaseIssue<unknown>[],
  ): string {
    const variable = SettingsReader.variableName(setting);
    const names = setting.isSecret
      ? variable
      : `--${setting.flag}, ${variable}`;
    const isMissing = this.readText(setting) === undefined;
    const fault = isMissing
      ? 'is missing'
      : issues.map(issue => issue.message).join('; ');
    return `${names}: ${fault}`;
  }
}

function toCamelCase(flag: string): string {
  return flag.replace(/-([a-z])/g, (_, letter: string) => letter.toUpperCase());
}
