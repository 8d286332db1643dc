/**
 * Hosts many workers in one process. Each has a worker stand-in, a target
 * stand-in and a real agent with real links:
 * `worker_host_main --first N --count N ...`.
 */
import {AgentProcess, createAgentServer} from '@chicoryspring/agent';
import {HttpServer} from '@chicoryspring/http-server';
import {createTargetServer} from '@chicoryspring/stand-ins/target/target_server.js';
import {TargetStandIn} from '@chicoryspring/stand-ins/target/target_stand_in.js';
import {WorkerStandIn} from '@chicoryspring/stand-ins/worker/worker_stand_in.js';
import {createWorkerRoutes} from '@chicoryspring/stand-ins/worker/worker_routes.js';
import {cac} from 'cac';

const HOST = '127.0.0.1';
const PORTS_PER_WORKER = 3;
const SLOTS = 8;
const CONNECTIONS = 64;
const SERVICE_MILLISECONDS = 1;
const ANNOUNCE_MILLISECONDS = 1_000;
const DOMAINS = ['kinangop', 'ndaragwa', 'kipipiri'];
const CAPACITY = {processors: 64, memoryMebibytes: 262_144, accelerators: 1};

const {options} = cac('worker-host')
  .option('--first <number>', 'Number of the first worker')
  .option('--count <number>', 'Number of workers')
  .option('--base-port <port>', 'First port')
  .option('--entry-urls <urls>', 'Link addresses of the entries')
  .option('--link-key <key>', 'Key of the links')
  .parse();

async function startWorker(number: number, firstPort: number): Promise<void> {
  const [agentPort, workerPort, targetPort] = [
    firstPort,
    firstPort + 1,
    firstPort + 2,
  ];
  const worker = new WorkerStandIn();
  void worker.run(new AbortController().signal);
  const routes = createWorkerRoutes(worker);
  await new HttpServer(routes).listen(HOST, workerPort);
  const target = new TargetStandIn(SLOTS, SERVICE_MILLISECONDS);
  createTargetServer(target).listen(targetPort, HOST);
  const failureDomain = DOMAINS[number % DOMAINS.length]!;
  const agent = new AgentProcess({
    worker: `hosted-worker-${number}`,
    failureDomain,
    rack: `${failureDomain}-rack-1`,
    host: HOST,
    port: agentPort,
    workerUrl: `http://${HOST}:${workerPort}`,
    entryUrls: String(options['entryUrls']).split(','),
    capacity: CAPACITY,
    linkKey: String(options['linkKey']),
  });
  await createAgentServer(agent).listen(HOST, agentPort);
  await agent.start();
  const announce = () =>
    agent.registerTarget({
      service: 'records',
      url: `http://${HOST}:${targetPort}`,
      slots: SLOTS,
      connections: CONNECTIONS,
    });
  await announce();
  setInterval(() => void announce(), ANNOUNCE_MILLISECONDS);
}

const first = Number(options['first']);
for (let position = 0; position < Number(options['count']); position += 1) {
  const port = Number(options['basePort']) + position * PORTS_PER_WORKER;
  await startWorker(first + position, port);
}
process.on('SIGTERM', () => process.exit());
