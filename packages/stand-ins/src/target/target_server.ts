import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {text} from 'node:stream/consumers';
import type {TargetFault} from './target_fault_types.js';
import type {TargetStandIn} from './target_stand_in.js';

const REQUEST_ID = 'chicoryspring-request-id';

/** The HTTP side of the target stand-in. */
export function createTargetServer(target: TargetStandIn): Server {
  return createServer((message, response) => {
    answer(target, message, response).catch(() => response.destroy());
  });
}

async function answer(
  target: TargetStandIn,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await text(message);
  if (message.url === '/executions') {
    response.end(JSON.stringify({executions: target.executions}));
    return;
  }
  if (message.url === '/faults') {
    target.fault = JSON.parse(body) as TargetFault;
    response.end('{}');
    return;
  }
  await target.execute(String(message.headers['idempotency-key'] ?? ''));
  echo(target.fault, message, response, body);
}

function echo(
  {fault}: TargetFault,
  message: IncomingMessage,
  response: ServerResponse,
  body: string,
): void {
  if (fault === 'lost') return void response.destroy();
  const id = String(message.headers[REQUEST_ID] ?? '');
  response.setHeader(REQUEST_ID, fault === 'swapped' ? `${id}x` : id);
  response.setHeader('content-type', message.headers['content-type'] ?? '');
  response.setHeader('content-length', Buffer.byteLength(body));
  if (fault === 'duplicated') return void answerTwice(response, id, body);
  if (fault !== 'truncated') return void response.end(body);
  response.write(body.slice(0, body.length / 2));
  response.destroy();
}

/** Sends the answer, and a copy of it without having been asked again. */
function answerTwice(response: ServerResponse, id: string, body: string): void {
  const {socket} = response;
  const head = `HTTP/1.1 200 OK\r\n${REQUEST_ID}: ${id}\r\n`;
  const length = `content-length: ${Buffer.byteLength(body)}\r\n\r\n`;
  response.end(body, () => socket?.write(`${head}${length}${body}`));
}
