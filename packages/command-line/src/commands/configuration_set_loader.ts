import {ChicoryspringError} from '@chicoryspring/contracts';
import type {ConfigurationObject} from '@chicoryspring/configuration';
import type {ConfigurationSet} from '@chicoryspring/configuration/files/configuration_set_types.js';
import type {PlacedFinding} from '@chicoryspring/configuration/files/placed_finding_types.js';

/** Reads the configuration set at the given paths. */
export class ConfigurationSetLoader {
  /** Returns the set together with the findings of its check. */
  static async read(paths: readonly string[]): Promise<ConfigurationSet> {
    const {readConfigurationSet} =
      await import('@chicoryspring/configuration/files/configuration_set_reader.js');
    try {
      return readConfigurationSet(paths);
    } catch (thrown) {
      const {message} = thrown as Error;
      throw new ChicoryspringError('settings-invalid', message);
    }
  }

  /** Returns the objects of a valid set; throws one error with all findings. */
  static async readValid(
    paths: readonly string[],
  ): Promise<readonly ConfigurationObject[]> {
    const {objects, findings} = await ConfigurationSetLoader.read(paths);
    if (findings.length === 0) return objects;
    const message = `${findings.length} findings in the configuration`;
    const details = findings.map(ConfigurationSetLoader.formatFinding);
    throw new ChicoryspringError('configuration-invalid', message, details);
  }

  /** Formats a finding as `file:line: message`, which editors can parse. */
  static formatFinding(finding: PlacedFinding): string {
    const {file, line, object, field, message} = finding;
    const place = file === '' ? '' : `${file}:${line}: `;
    const subject = [object, field].filter(text => text !== '').join(' ');
    return `${place}${subject === '' ? '' : `${subject}: `}${message}`;
  }
}
