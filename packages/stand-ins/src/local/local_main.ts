/** `npm run local`: a fleet on loopback until SIGTERM; prints one JSON line. */
import {cac} from 'cac';
import {LocalFleetStarter} from './local_fleet_starter.js';

const commandLine = cac('local');
commandLine.option('--entries <count>', 'Entries', {default: 2});
commandLine.option('--workers <count>', 'Workers', {default: 3});
commandLine.option('--failure-domains <count>', 'Domains', {default: 3});
commandLine.option('--base-port <port>', 'First port', {default: 18000});
commandLine.option('--shards <count>', 'Shards', {default: 8});
commandLine.option('--slots <count>', 'Slots of a target', {default: 8});
commandLine.option('--connections <count>', 'Connections', {default: 64});
commandLine.option('--service-milliseconds <time>', 'Time of a request', {
  default: 1,
});
const {options} = commandLine.parse();
const starter = new LocalFleetStarter({
  entries: Number(options['entries']),
  workers: Number(options['workers']),
  failureDomains: Number(options['failureDomains']),
  basePort: Number(options['basePort']),
  shards: Number(options['shards']),
  slots: Number(options['slots']),
  connections: Number(options['connections']),
  serviceMilliseconds: Number(options['serviceMilliseconds']),
});
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
