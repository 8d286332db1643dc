import {SettingsReader} from '../settings/settings_reader.js';
import {SETTINGS_TABLE} from '../settings/settings_table.js';
import type {Setting} from '../settings/setting_types.js';

const INTRODUCTION = `# Settings

Each setting is a flag or an environment variable; the flag goes first. A
secret is read from the environment only. Every fault is reported at once,
before anything starts:

    $ chicoryspringd entry --port 70000
    chicoryspringd: settings-invalid: invalid settings:
      --name, CHICORYSPRING_NAME: is missing
      --failure-domain, CHICORYSPRING_FAILURE_DOMAIN: is missing
      --port, CHICORYSPRING_PORT: must be a port
      --store-url, CHICORYSPRING_STORE_URL: is missing
      CHICORYSPRING_LINK_KEY: is missing
      CHICORYSPRING_OPERATOR_TOKEN_HASH: is missing

\`chicoryspringd ROLE --print-settings\` prints what a process would use, with
secrets hidden. This page is written by \`npm run reference\`.
`;

const HEADING =
  '| flag | variable | default | meaning |\n| --- | --- | --- | --- |';

/** The page on every setting of each role. */
export function createSettingsPage(): string {
  const sections = Object.entries(SETTINGS_TABLE).map(([role, settings]) => {
    const rows = settings.map(rowOf).join('\n');
    return `\n## chicoryspringd ${role}\n\n${HEADING}\n${rows}\n`;
  });
  return INTRODUCTION + sections.join('');
}

function rowOf(setting: Setting): string {
  const flag = setting.isSecret ? 'none: a secret' : `\`--${setting.flag}\``;
  const variable = `\`${SettingsReader.variableOf(setting)}\``;
  const standard = setting.standard ?? (setting.isOptional ? '' : 'required');
  return `| ${flag} | ${variable} | ${standard} | ${setting.description} |`;
}
