#!/usr/bin/env node
/** `chicoryspringd ROLE`: runs one role and drains it on SIGTERM or SIGINT. */
import {cac} from 'cac';
import {SystemClock, toChicoryspringError} from '@chicoryspring/contracts';
import {SettingsReader} from '../settings/settings_reader.js';
import {ProcessStopper} from '../stop/process_stopper.js';
import {createAgentStateLog} from '../telemetry/agent_state_log_factory.js';
import {ROLE_REGISTRY} from './role_registry.js';
import type {Role} from './role_types.js';

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

type Flags = Readonly<Record<string, unknown>>;

async function runRole(name: string, role: Role, flags: Flags): Promise<void> {
  const texts = Object.fromEntries(
    role.settings.map(({flag}) => [flag, readFlagText(flags, flag)]),
  );
  const reader = new SettingsReader(role.settings, texts, process.env);
  if (flags['printSettings']) return console.log(reader.describe().join('\n'));
  const values = reader.read();
  const log = createAgentStateLog(values['stateLog'], {role: name});
  const graceMilliseconds = Number(values['graceMilliseconds']);
  const terms = {...role.stopTerms, graceMilliseconds};
  const stopper = new ProcessStopper(terms, new SystemClock(), log);
  process.on('SIGTERM', () => stopper.tell());
  process.on('SIGINT', () => stopper.tell());
  const started = role.start(values);
  void stopper.run(started).then(() => process.exit());
  await started;
}

/** Reads a flag from the parsed options, where its name is in camel case. */
function readFlagText(flags: Flags, flag: string): string | undefined {
  const name = flag.replace(/-([a-z])/g, (_, letter: string) =>
    letter.toUpperCase(),
  );
  const value = flags[name];
  return value === undefined ? undefined : String(value);
}

function reportFailure(thrown: unknown, code: number): void {
  const error = toChicoryspringError(thrown);
  console.error(`chicoryspringd: ${error.kind}: ${error.message}`);
  process.exitCode = code;
}

const commandLine = cac('chicoryspringd');
for (const [name, role] of Object.entries(ROLE_REGISTRY)) {
  const command = commandLine.command(name, role.description);
  command.option('--print-settings', 'Print the settings and exit');
  for (const setting of role.settings) {
    if (setting.isSecret) continue;
    const variable = SettingsReader.variableName(setting);
    const text = `${setting.description} (${variable})`;
    command.option(`--${setting.flag} <value>`, text);
  }
  command.action((flags: Flags) => {
    runRole(name, role, flags).catch(thrown =>
      reportFailure(thrown, EXIT_FAILURE),
    );
  });
}
commandLine.help();
try {
  commandLine.parse(process.argv, {run: false});
  const isKnown = commandLine.matchedCommand !== undefined;
  if (isKnown) await commandLine.runMatchedCommand();
  else if (!commandLine.options['help']) commandLine.outputHelp();
} catch (thrown) {
  reportFailure(thrown, EXIT_USAGE);
}
