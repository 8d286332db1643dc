/** Runs the store stand-in: `store_main --port N`. */
import {cac} from 'cac';
import {StoreStandIn} from './store_stand_in.js';

const {options} = cac('store').option('--port <port>', 'Port').parse();
const standIn = new StoreStandIn();
standIn.server.listen(Number(options['port']), '127.0.0.1');
process.on('SIGTERM', () => process.exit());
