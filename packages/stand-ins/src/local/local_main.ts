/** `npm run local`: a fleet on loopback until SIGTERM; prints one JSON line. */
import {cac} from 'cac';
import {LocalFleetStarter} from './local_fleet_starter.js';
import type {LocalOptions} from './local_options_types.js';
import {STANDARD_LOCAL_OPTIONS} from './standard_local_options.js';

/** What each flag sets, with its description. */
const FLAGS: Readonly<Record<keyof LocalOptions, string>> = {
  entries: 'Entries',
  workers: 'Workers',
  failureDomains: 'Failure domains',
  basePort: 'First port',
  shards: 'Shards of the fleet',
  slots: 'Requests that a target serves at once',
  connections: 'Connections that a target accepts',
  serviceMilliseconds: 'Time that a target takes for a request',
};

const commandLine = cac('local');
for (const [name, description] of Object.entries(FLAGS)) {
  const flag = name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
  const standard = STANDARD_LOCAL_OPTIONS[name as keyof LocalOptions];
  commandLine.option(`--${flag} <number>`, description, {default: standard});
}
const {options} = commandLine.parse();
const numbers = Object.keys(FLAGS).map(name => [name, Number(options[name])]);
const starter = new LocalFleetStarter(Object.fromEntries(numbers));
let isStopping = false;

async function stop(): Promise<void> {
  if (isStopping) return;
  isStopping = true;
  await starter.stop();
  process.exit();
}

process.on('SIGTERM', () => void stop());
process.on('SIGINT', () => void stop());
console.log(JSON.stringify(await starter.start()));
