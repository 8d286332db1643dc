import {EventEmitter} from 'node:events';
import {Pool} from 'undici';
import {
  ChicoryspringError,
  type Clock,
  type ServiceAnswer,
  type ServiceRequest,
} from '@chicoryspring/contracts';
import type {TargetAnnouncement} from './target_announcement_types.js';

/** Errors of a connection that failed before anything was sent. */
const NOT_SENT = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/** Sends requests to the target beside the agent. */
export class TargetClient {
  private readonly pool: Pool;
  private inFlight = 0;

  constructor(
    readonly announcement: TargetAnnouncement,
    private readonly clock: Clock,
  ) {
    const {url, connections} = announcement;
    this.pool = new Pool(url, {connections});
  }

  get requestsInFlight(): number {
    return this.inFlight;
  }

  /** The target's whole answer, or an error that says what is known. */
  async serve(request: ServiceRequest): Promise<ServiceAnswer> {
    this.inFlight += 1;
    try {
      return await this.exchange(request);
    } catch (thrown) {
      throw toTargetError(thrown);
    } finally {
      this.inFlight -= 1;
    }
  }

  /** Waits for the requests in progress, then closes the connections. */
  async close(): Promise<void> {
    await this.pool.close();
  }

  private async exchange(request: ServiceRequest): Promise<ServiceAnswer> {
    if (request.deadline <= this.clock.now()) {
      throw new ChicoryspringError('deadline-passed', 'nobody waits any more');
    }
    const passing = new EventEmitter();
    const cancel = this.clock.schedule(request.deadline, () => {
      passing.emit('abort');
    });
    try {
      return await this.exchangeUntil(passing, request);
    } finally {
      cancel();
    }
  }

  /** Sends and reads until `passing` emits `abort`. */
  private async exchangeUntil(
    passing: EventEmitter,
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
      signal: passing,
    });
    const body = await answer.body.text();
    checkIdentity(request.id, answer.headers['chicoryspring-request-id']);
    return {
      requestId: request.id,
      status: answer.statusCode,
      contentType: String(answer.headers['content-type'] ?? 'text/plain'),
      body,
    };
  }
}

/** Refuses an answer that names another request than the one sent. */
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
  const code = String((thrown as {readonly code?: unknown}).code);
  const {message, name} = thrown as Error;
  if (NOT_SENT.has(code)) {
    return new ChicoryspringError('target-unreachable', message);
  }
  if (name === 'AbortError') {
    return new ChicoryspringError('outcome-unknown', 'no answer in time');
  }
  return new ChicoryspringError('answer-incomplete', message);
}
