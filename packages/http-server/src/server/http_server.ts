import {once} from 'node:events';
import {finished} from 'node:stream/promises';
import {
  setImmediate as nextPoll,
  setTimeout as sleep,
} from 'node:timers/promises';
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import polka from 'polka';
import {ChicoryspringError} from '@chicoryspring/contracts';
import {errorAnswer} from '../answer/error_answer.js';
import type {HttpAnswer} from '../answer/http_answer_types.js';
import {readBody} from '../request/body_reader.js';
import type {HttpRequest} from '../request/http_request_types.js';
import type {HttpRoute} from './http_route_types.js';
import {DEFAULT_HTTP_LIMITS} from './default_http_limits.js';

/**
 * Time during which answers announce that the server closes its connections.
 */
const CLOSE_NOTICE_MILLISECONDS = 1_000;
/** Time in which the first request of the last accepted connections arrives. */
const FIRST_REQUEST_MILLISECONDS = 50;

type RoutedMessage = IncomingMessage &
  Readonly<Partial<Pick<polka.Request, 'params'>>> & {
    readonly query?: Readonly<Record<string, string>>;
  };

/**
 * Serves routes over HTTP; thrown errors are answered as `ERROR_TABLE` says.
 */
export class HttpServer {
  readonly server: Server;
  private readonly requestsInFlight = new Set<Promise<void>>();
  private isClosing = false;

  constructor(routes: readonly HttpRoute[], limits = DEFAULT_HTTP_LIMITS) {
    const router = polka({
      onNoMatch: (_, response) => {
        const message = 'no route has this method and path';
        send(
          response,
          errorAnswer(new ChicoryspringError('unknown-route', message)),
        );
      },
    });
    for (const route of routes) {
      router.add(route.method, route.path, (request, response) => {
        const message = request as unknown as RoutedMessage;
        void this.serve(route, message, response, limits.bodyBytes);
      });
    }
    this.server = createServer(
      {
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headerMilliseconds,
        requestTimeout: limits.requestMilliseconds,
        keepAliveTimeout: limits.idleMilliseconds,
      },
      router.handler as unknown as RequestListener,
    );
    this.server.maxConnections = limits.connections;
  }

  /** Starts to listen; resolves once connections are accepted. */
  async listen(host: string, port: number): Promise<void> {
    this.server.listen(port, host);
    await once(this.server, 'listening');
  }

  /**
   * Stops accepting connections and resolves once every request is answered.
   *
   * Before that, answers carry `connection: close` for a while, so that peers
   * stop using their connections and no connection is closed while a request
   * is on its way.
   */
  async close(): Promise<void> {
    this.isClosing = true;
    await sleep(CLOSE_NOTICE_MILLISECONDS);
    await this.stopListening();
    this.server.closeIdleConnections();
    while (this.requestsInFlight.size > 0) {
      await Promise.allSettled(this.requestsInFlight);
    }
  }

  /**
   * Stops listening, and resolves once what has arrived by then is read.
   *
   * On a busy machine connections and requests may wait unread in the system
   * when a timer expires; to close them then would reset them. An event loop
   * polls for them before it runs what `setImmediate` schedules.
   */
  private async stopListening(): Promise<void> {
    await nextPoll();
    this.server.close();
    await sleep(FIRST_REQUEST_MILLISECONDS);
    await nextPoll();
  }

  private async serve(
    route: HttpRoute,
    message: RoutedMessage,
    response: ServerResponse,
    bodyBytes: number,
  ): Promise<void> {
    if (this.isClosing) response.setHeader('connection', 'close');
    const answered = answerRequest(route, message, response, bodyBytes);
    this.requestsInFlight.add(answered);
    await answered;
    this.requestsInFlight.delete(answered);
  }
}

/** Answers one request; resolves once the response is sent or has failed. */
async function answerRequest(
  route: HttpRoute,
  message: RoutedMessage,
  response: ServerResponse,
  bodyBytes: number,
): Promise<void> {
  try {
    const request = await toRequest(message, response, bodyBytes);
    send(response, await route.answer(request));
  } catch (thrown) {
    if (!message.complete) discardBody(message, response);
    send(response, errorAnswer(thrown));
  }
  await finished(response).catch(() => undefined);
}

/**
 * Discards the unread rest of a body; the connection closes after the answer.
 */
function discardBody(message: IncomingMessage, response: ServerResponse): void {
  response.setHeader('connection', 'close');
  message.resume();
}

async function toRequest(
  message: RoutedMessage,
  response: ServerResponse,
  bodyBytes: number,
): Promise<HttpRequest> {
  return {
    headers: message.headers as HttpRequest['headers'],
    target: (message.url ?? '/').split('?', 1)[0]!,
    path: message.params ?? {},
    query: message.query ?? {},
    body: await readBody(message, bodyBytes),
    get closed() {
      return closedSignal(response);
    },
  };
}

/**
 * A signal that aborts when the response closes; created only when a route
 * reads it.
 */
function closedSignal(response: ServerResponse): AbortSignal {
  const closing = new AbortController();
  if (response.destroyed) closing.abort();
  else response.on('close', () => closing.abort());
  return closing.signal;
}

function send(response: ServerResponse, answer: HttpAnswer): void {
  if (response.writableEnded || response.destroyed) return;
  response.writeHead(answer.status, {
    ...answer.headers,
    'content-type': answer.contentType,
    'content-length': Buffer.byteLength(answer.body),
  });
  response.end(answer.body);
}
