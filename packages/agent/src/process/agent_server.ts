import {
  ChicoryspringError,
  SystemClock,
  requireValid,
} from '@chicoryspring/contracts';
import {
  HttpCapacity,
  HttpServer,
  jsonAnswer,
  parseJsonBody,
  type HttpRoute,
} from '@chicoryspring/http-server';
import {targetAnnouncementSchema} from '../target/target_announcement_schema.js';
import type {TargetAnnouncement} from '../target/target_announcement_types.js';
import type {AgentProcess} from './agent_process.js';

const OK = 200;
/** Only a worker and its target send to an agent, and little. */
const BODY_MEBIBYTES = 8;

/** Creates the HTTP server of an agent: target registration and health. */
export function createAgentServer(
  agent: AgentProcess,
  bodyMebibytes = BODY_MEBIBYTES,
): HttpServer {
  const routes: readonly HttpRoute[] = [
    {
      method: 'GET',
      path: '/healthz',
      answer: async () => jsonAnswer(OK, {status: 'alive'}),
    },
    {
      method: 'GET',
      path: '/readyz',
      answer: async () => jsonAnswer(OK, readiness(agent)),
    },
    {
      method: 'GET',
      path: '/v1/status',
      answer: async () => jsonAnswer(OK, agent.status),
    },
    {
      method: 'POST',
      path: '/target/announce',
      answer: async request => {
        await agent.registerTarget(parseAnnouncement(request.body));
        return jsonAnswer(OK, {});
      },
    },
    {
      method: 'POST',
      path: '/target/leave',
      answer: async () => {
        await agent.deregisterTarget();
        return jsonAnswer(OK, {});
      },
    },
  ];
  const clock = new SystemClock();
  const capacity = HttpCapacity.ofProcess(bodyMebibytes, clock);
  return new HttpServer(routes, undefined, clock, capacity);
}

function parseAnnouncement(body: string): TargetAnnouncement {
  const announced = parseJsonBody(body);
  return requireValid(targetAnnouncementSchema, announced, 'an announcement');
}

function readiness(agent: AgentProcess): object {
  if (agent.isReady) return {status: 'ready'};
  throw new ChicoryspringError(
    'draining',
    'no open link to an entry, or draining',
  );
}
