/** `npm run bench`: measurements of policies and of real processes. */
import {cac} from 'cac';
import {measurePath} from '../path/path_measurement.js';

const commandLine = cac('bench');
commandLine
  .command('path', 'Times a check through the path against the target alone')
  .action(async () => console.table(await measurePath()));
commandLine.help();
commandLine.parse();
