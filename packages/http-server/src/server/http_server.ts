import {once} from 'node:events';
import {setImmediate as nextPoll} from 'node:timers/promises';
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import polka from 'polka';
import {
  ChicoryspringError,
  SystemClock,
  toChicoryspringError,
  waitUntilDeadline,
  type Clock,
  type StopSchedule,
} from '@chicoryspring/contracts';
import {errorAnswer} from '../answer/error_answer.js';
import type {HttpAnswer} from '../answer/http_answer_types.js';
import {BodyReader} from '../body/body_reader.js';
import {endAfterAnswer} from '../connection/connection_end.js';
import {PipelinedResponses} from '../connection/pipelined_responses.js';
import {createHttpRequest} from '../request/http_request.js';
import type {HttpRequest} from '../request/http_request_types.js';
import type {RoutedMessage} from '../request/routed_message_types.js';
import {RequestInProgress} from '../request/request_in_progress.js';
import {HttpCapacity} from './http_capacity.js';
import {HttpConnections} from './http_connections.js';
import {closeListener} from './listener_close.js';
import type {HttpRoute} from './http_route_types.js';
import type {StopSummary} from './stop_summary_types.js';
import {DEFAULT_HTTP_LIMITS} from './default_http_limits.js';

/** Time in which peers send the first request of a connection. */
const FIRST_REQUEST_MILLISECONDS = 1_000;
/** Time by which a route has its own answer before its request is given up. */
const ROUTE_MARGIN_MILLISECONDS = 100;
/** Interval at which late headers are looked for. */
const HEADER_CHECK_MILLISECONDS = 1_000;
/** Time after the deadline of a body in which it is refused with an answer. */
const REFUSAL_MILLISECONDS = 5_000;

/** Error kinds of bodies that are outside the limits. */
const BODY_REFUSALS = [
  'body-too-large',
  'body-too-slow',
  'overloaded',
] as const;

interface LinkAcceptor {
  attach(server: Server): void;
}

/**
 * Serves routes over HTTP; thrown errors are answered as `ERROR_TABLE` says.
 */
export class HttpServer {
  readonly server: Server;
  private readonly connections: HttpConnections;
  private readonly responses: PipelinedResponses;
  private readonly inProgress = new Map<RequestInProgress, Promise<void>>();
  private stopping: StopSchedule | undefined;
  private isDone = false;
  private refused = 0;

  constructor(
    routes: readonly HttpRoute[],
    private readonly limits = DEFAULT_HTTP_LIMITS,
    private readonly clock: Clock = new SystemClock(),
    /** Shared by the listeners of a process. */
    private readonly capacity = HttpCapacity.ofProcess(undefined, clock),
  ) {
    const router = polka({
      onNoMatch: (message, response) => {
        const text = 'no route has this method and path';
        const error = new ChicoryspringError('unknown-route', text);
        if (isUnread(message)) endAfterAnswer(message, response);
        this.send(response, errorAnswer(error));
      },
    });
    for (const route of routes) {
      router.add(route.method, route.path, (request, response) => {
        const message = request as unknown as RoutedMessage;
        void this.serve(route, message, response);
      });
    }
    const handle = router.handler as unknown as RequestListener;
    this.responses = new PipelinedResponses(limits.requestsPerConnection);
    this.server = createServer(
      {
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headerMilliseconds,
        requestTimeout: limits.requestMilliseconds + REFUSAL_MILLISECONDS,
        connectionsCheckingInterval: HEADER_CHECK_MILLISECONDS,
        keepAliveTimeout: limits.idleMilliseconds,
      },
      (message, response) => {
        const {socket} = message;
        if (this.responses.add(response, socket)) handle(message, response);
        else this.closeFullConnection(socket);
      },
    );
    this.server.maxConnections = limits.connections;
    this.connections = new HttpConnections(
      this.server,
      this.capacity.connections,
    );
  }

  /**
   * Lets a listener of links handle the upgrade requests; without one they are
   * served like any others.
   */
  acceptLinks(listener: LinkAcceptor): void {
    this.connections.forgetUpgraded();
    listener.attach(this.server);
  }

  /** Starts to listen; resolves once connections are accepted. */
  async listen(host: string, port: number): Promise<void> {
    this.server.listen(port, host);
    await once(this.server, 'listening');
  }

  /**
   * Stops in the order of the schedule; resolves once every request has its
   * answer and every connection is closed, earlier than the deadline if it can.
   *
   * From now on each answer ends its connection, so that the connections still
   * open after the notice are ones that nobody has used meanwhile.
   */
  async stop(stop: StopSchedule): Promise<StopSummary> {
    this.stopping = stop;
    const inProgress = this.inProgress.size;
    await this.clock.sleepUntil(stop.noticeEnds);
    await closeListener(this.server);
    await this.whenUsed(stop);
    await waitUntilDeadline(this.clock, stop.answersDue, this.whenAnswered());
    this.isDone = true;
    const givenUp = this.inProgress.size;
    for (const request of this.inProgress.keys()) request.giveUp();
    await nextPoll();
    await waitUntilDeadline(this.clock, stop.deadline, this.whenAnswered());
    const unanswered = this.inProgress.size;
    await this.connections.close();
    return {inProgress, refused: this.refused, givenUp, unanswered};
  }

  /** Waits for the first request of each connection that was accepted last. */
  private async whenUsed({answersDue}: StopSchedule): Promise<void> {
    const waiting = new AbortController();
    const used = this.connections.whenUsed(waiting.signal);
    const deadline = Math.min(
      answersDue,
      this.clock.now() + FIRST_REQUEST_MILLISECONDS,
    );
    await waitUntilDeadline(this.clock, deadline, used);
    waiting.abort();
  }

  private async whenAnswered(): Promise<void> {
    while (this.inProgress.size > 0) {
      await Promise.allSettled(this.inProgress.values());
    }
  }

  private async serve(
    route: HttpRoute,
    message: RoutedMessage,
    response: ServerResponse,
  ): Promise<void> {
    // Its connection has had its last answer.
    if (message.socket.writableEnded) return;
    const request = new RequestInProgress();
    const answered = this.answer(request, route, message, response);
    this.inProgress.set(request, answered);
    await answered;
    this.inProgress.delete(request);
  }

  /** Answers one request; resolves once the response is sent or has failed. */
  private async answer(
    inProgress: RequestInProgress,
    route: HttpRoute,
    message: RoutedMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {limits, clock, capacity} = this;
    const {connections} = capacity;
    const reader = new BodyReader(message, limits, capacity, clock);
    let release: (() => void) | undefined;
    try {
      route.admit?.(message.headers as HttpRequest['headers']);
      const body = await inProgress.receive(this.read(reader));
      release = connections.hold(message.socket);
      this.requireAcceptance();
      const request = createHttpRequest(
        message,
        response,
        body,
        this.routeDeadline,
      );
      const answer = await inProgress.run(() => route.answer(request));
      this.send(response, answer);
    } catch (thrown) {
      if (isUnread(message)) endAfterAnswer(message, response);
      this.send(response, errorAnswer(thrown));
    } finally {
      reader.release();
      release?.();
    }
    await this.responses.whenClosed(response);
  }

  /** Reads a body, and counts it if it is refused for a limit. */
  private async read(reader: BodyReader): Promise<string> {
    try {
      return await reader.read();
    } catch (thrown) {
      const {kind} = toChicoryspringError(thrown);
      const refusal = BODY_REFUSALS.find(one => one === kind);
      if (refusal) this.capacity.onRefusal(refusal);
      throw thrown;
    }
  }

  private closeFullConnection(socket: Socket): void {
    // What has arrived with the request is still parsed.
    if (socket.destroyed) return;
    socket.destroy();
    this.capacity.onRefusal('requests-in-progress');
  }

  private get routeDeadline(): number | undefined {
    const {answersDue} = this.stopping ?? {};
    return answersDue && answersDue - ROUTE_MARGIN_MILLISECONDS;
  }

  /** Throws if the request has arrived too late to be held. */
  private requireAcceptance(): void {
    const {lastAcceptance = Infinity} = this.stopping ?? {};
    if (!this.isDone && this.clock.now() <= lastAcceptance) return;
    this.refused += 1;
    throw new ChicoryspringError('draining', 'the process is stopping');
  }

  private send(response: ServerResponse, answer: HttpAnswer): void {
    if (response.writableEnded || response.destroyed) return;
    if (this.stopping) response.setHeader('connection', 'close');
    response.writeHead(answer.status, {
      ...answer.headers,
      'content-type': answer.contentType,
      'content-length': Buffer.byteLength(answer.body),
    });
    response.end(answer.body);
  }
}

/** Whether a part of the body may not have arrived. */
function isUnread({headers, complete}: IncomingMessage): boolean {
  if (complete) return false;
  const {'content-length': length = '0'} = headers;
  return headers['transfer-encoding'] !== undefined || Number(length) > 0;
}
