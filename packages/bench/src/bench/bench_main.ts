/** `npm run bench`: measurements of policies and of real processes. */
import {cac} from 'cac';
import {BENCH_COMMAND_REGISTRY} from './bench_command_registry.js';

type Flags = Readonly<Record<string, unknown>>;

const commandLine = cac('bench');
for (const {name, description, options, run} of BENCH_COMMAND_REGISTRY) {
  const command = commandLine.command(name, description);
  for (const option of options ?? []) {
    command.option(option.flag, option.description, {default: option.default});
  }
  command.action((flags: Flags) => run(flags));
}
commandLine.help();
commandLine.parse();
