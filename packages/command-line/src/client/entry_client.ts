import * as v from 'valibot';
import {request} from 'undici';
import {
  ChicoryspringError,
  ERROR_TABLE,
  isConnectFailure,
  type ErrorKind,
} from '@chicoryspring/contracts';
import {answerSchemas} from './answer_schemas.js';
import type {ClientCall} from './client_call_types.js';

/** Timeout of a response, above the 60 s that an entry waits at most. */
const RESPONSE_TIMEOUT_MILLISECONDS = 75_000;
const MIN_ERROR_STATUS = 400;

const errorBodySchema = v.object({
  kind: v.string(),
  message: v.string(),
  details: v.array(v.string()),
});

/**
 * Calls the API of the first entry that accepts the request. The next entry is
 * tried only if the request cannot have been executed by the previous one.
 */
export class EntryClient {
  constructor(
    private readonly servers: readonly string[],
    private readonly token: string,
  ) {}

  /** Returns the validated response; throws an error response with its kind. */
  async call<T>(
    call: ClientCall,
    schema: v.GenericSchema<unknown, T>,
  ): Promise<T> {
    for (const server of this.servers) {
      const value = await this.tryServer(server, call);
      if (value === undefined) continue;
      const checked = v.safeParse(schema, value.answer);
      if (checked.success) return checked.output;
      const message = `${server} sent an invalid response to ${call.path}`;
      throw new ChicoryspringError('malformed-message', message);
    }
    const triedServers = this.servers.join(', ');
    const message = `no server accepted the request: ${triedServers}`;
    throw new ChicoryspringError('peer-unreachable', message);
  }

  /** Returns the configuration set in force. */
  async configuration(): Promise<
    v.InferOutput<typeof answerSchemas.configuration>
  > {
    const call = {method: 'GET', path: '/v1/configuration'} as const;
    return await this.call(call, answerSchemas.configuration);
  }

  /** Returns undefined if the request was not sent or the entry is draining. */
  private async tryServer(
    server: string,
    call: ClientCall,
  ): Promise<{readonly answer: unknown} | undefined> {
    try {
      const {status, text} = await this.send(server, call);
      if (status < MIN_ERROR_STATUS) return {answer: JSON.parse(text)};
      const error = parseErrorResponse(status, text);
      if (error.kind === 'draining') return undefined;
      throw error;
    } catch (thrown) {
      if (thrown instanceof ChicoryspringError) throw thrown;
      if (isConnectFailure(thrown)) return undefined;
      const {message} = thrown as Error;
      throw new ChicoryspringError('link-closed', `${server}: ${message}`);
    }
  }

  private async send(
    server: string,
    call: ClientCall,
  ): Promise<{readonly status: number; readonly text: string}> {
    const url = new URL(call.path, server);
    for (const [name, value] of Object.entries(call.query ?? {})) {
      if (value !== undefined) url.searchParams.set(name, value);
    }
    const answer = await request(url, {
      method: call.method,
      headers: {
        authorization: `Bearer ${this.token}`,
        'content-type': 'application/json',
        ...call.headers,
      },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      headersTimeout: RESPONSE_TIMEOUT_MILLISECONDS,
      bodyTimeout: RESPONSE_TIMEOUT_MILLISECONDS,
    });
    return {status: answer.statusCode, text: await answer.body.text()};
  }
}

function parseErrorResponse(status: number, text: string): ChicoryspringError {
  const errorBody = v.safeParse(errorBodySchema, parseJson(text));
  if (!errorBody.success || !isErrorKind(errorBody.output.kind)) {
    const message = `status ${status}: ${text}`;
    return new ChicoryspringError('internal', message);
  }
  const {kind, message, details} = errorBody.output;
  return new ChicoryspringError(kind, message, details);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function isErrorKind(kind: string): kind is ErrorKind {
  return kind in ERROR_TABLE;
}
