/** Runs the worker stand-in: `worker_main --port N`. */
import {cac} from 'cac';
import {HttpServer} from '@chicoryspring/http-server';
import {createWorkerRoutes} from './worker_routes.js';
import {WorkerStandIn} from './worker_stand_in.js';

const {options} = cac('worker').option('--port <port>', 'Port').parse();
const worker = new WorkerStandIn();
void worker.run(new AbortController().signal);
const server = new HttpServer(createWorkerRoutes(worker));
await server.listen('127.0.0.1', Number(options['port']));
process.on('SIGTERM', () => process.exit());
