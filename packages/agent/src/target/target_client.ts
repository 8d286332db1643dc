import {EventEmitter} from 'node:events';
import {Pool, type Dispatcher} from 'undici';
import {
  ChicoryspringError,
  isConnectFailure,
  type Clock,
  type ServiceAnswer,
  type ServiceRequest,
} from '@chicoryspring/contracts';
import {ConnectionSemaphore} from './connection_semaphore.js';
import type {TargetAnnouncement} from './target_announcement_types.js';

const NO_CONTENT = 204;

type TargetReply = Dispatcher.ResponseData;

/** Sends requests to the target next to the agent, without retries. */
export class TargetClient {
  private readonly pool: Pool;
  private readonly semaphore: ConnectionSemaphore;
  private inFlight = 0;
  private isClosing = false;

  constructor(
    readonly announcement: TargetAnnouncement,
    private readonly clock: Clock,
  ) {
    const {url, connections} = announcement;
    this.pool = new Pool(url, {connections});
    this.semaphore = new ConnectionSemaphore(connections, clock);
  }

  get requestsInFlight(): number {
    return this.inFlight;
  }

  /** Returns the complete answer; the kind of an error tells the outcome. */
  async serve(request: ServiceRequest): Promise<ServiceAnswer> {
    this.inFlight += 1;
    try {
      return await this.exchangeOnFreeConnection(request);
    } catch (thrown) {
      throw toTargetError(thrown);
    } finally {
      this.inFlight -= 1;
    }
  }

  /** Waits for the requests in flight, then closes the connections. */
  async close(): Promise<void> {
    this.isClosing = true;
    await this.pool.close();
  }

  private rejectWhenClosing(): void {
    if (!this.isClosing) return;
    throw new ChicoryspringError('draining', 'the target is leaving');
  }

  private async exchangeOnFreeConnection(
    request: ServiceRequest,
  ): Promise<ServiceAnswer> {
    await this.semaphore.acquire(request.deadline);
    try {
      this.rejectWhenClosing();
      return await this.exchange(request);
    } finally {
      this.semaphore.release();
    }
  }

  private async exchange(request: ServiceRequest): Promise<ServiceAnswer> {
    if (request.deadline <= this.clock.now()) {
      throw new ChicoryspringError(
        'deadline-passed',
        'the deadline passed before the request was sent',
      );
    }
    const abortEvents = new EventEmitter();
    const cancel = this.clock.schedule(request.deadline, () => {
      abortEvents.emit('abort');
    });
    try {
      return await this.exchangeUntil(abortEvents, request);
    } finally {
      cancel();
    }
  }

  /** Sends the request and reads the answer, unless `abort` is emitted. */
  private async exchangeUntil(
    abortEvents: EventEmitter,
    request: ServiceRequest,
  ): Promise<ServiceAnswer> {
    const answer = await this.pool.request({
      method: 'POST',
      path: `/v1/services/${encodeURIComponent(request.service)}/requests`,
      headers: {
        'content-type': request.contentType,
        'idempotency-key': request.idempotencyKey ?? request.id,
        'chicoryspring-request-id': request.id,
      },
      body: request.body,
      signal: abortEvents,
      // The pool may send an idempotent request again by itself.
      idempotent: false,
    });
    const body = await answer.body.text();
    checkIdentity(request.id, answer.headers['chicoryspring-request-id']);
    checkLength(answer);
    return {
      requestId: request.id,
      status: answer.statusCode,
      contentType: String(answer.headers['content-type'] ?? 'text/plain'),
      body,
    };
  }
}

/**
 * Rejects an answer whose end only the close of the connection marks.
 *
 * Such an answer may be truncated.
 */
function checkLength({statusCode, headers}: TargetReply): void {
  if (statusCode === NO_CONTENT) return;
  if (headers['content-length'] ?? headers['transfer-encoding']) return;
  const message = 'the answer has no length, so it may be incomplete';
  throw new ChicoryspringError('answer-incomplete', message);
}

/** Rejects an answer that names another request than the one sent. */
function checkIdentity(
  requestId: string,
  answered: string | readonly string[] | undefined,
): void {
  if (answered === undefined || answered === requestId) return;
  const message = `the target answered request ${String(answered)} instead`;
  throw new ChicoryspringError('answer-incomplete', message);
}

function toTargetError(thrown: unknown): ChicoryspringError {
  if (thrown instanceof ChicoryspringError) return thrown;
  const {message, name} = thrown as Error;
  if (isConnectFailure(thrown)) {
    return new ChicoryspringError('target-unreachable', message);
  }
  if (name === 'AbortError') {
    return new ChicoryspringError('outcome-unknown', 'no answer in time');
  }
  return new ChicoryspringError('answer-incomplete', message);
}
