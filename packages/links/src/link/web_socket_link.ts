import {on} from 'node:events';
import type {Socket} from 'node:net';
import {
  JSONRPCClient,
  JSONRPCServer,
  JSONRPCServerAndClient,
} from 'json-rpc-2.0';
import * as v from 'valibot';
import type {WebSocket} from 'ws';
import {
  ChicoryspringError,
  withDeadline,
  type Clock,
} from '@chicoryspring/contracts';
import type {LinkMethodRegistry} from '../method/link_method_registry.js';
import type {LinkMethod} from '../method/link_method_types.js';
import {LinkErrorCodec} from './link_error_codec.js';
import type {LinkLiveness} from './link_liveness_types.js';
import {MessageMeter} from './message_meter.js';
import type {LinkTraffic} from './link_traffic_types.js';
import type {Link} from './link_types.js';

/** WebSocket close code of a normal closure. */
const NORMAL_CLOSURE_CODE = 1000;
/** WebSocket close code after a message that violates the protocol. */
const PROTOCOL_ERROR_CODE = 1002;
/** Time that the peer has to close its side before the socket is terminated. */
const CLOSE_TIMEOUT_MILLISECONDS = 500;
/** Concurrent calls of the peer; further ones are rejected unhandled. */
const MAX_CALLS_IN_PROGRESS = 10_000;
/** Unsent bytes at which the link of a peer that doesn't read is terminated. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024;

/** A link over one WebSocket; the only class that encodes its messages. */
export class WebSocketLink implements Link {
  private readonly peer: JSONRPCServerAndClient;
  private readonly closing = new AbortController();
  private readonly meter: MessageMeter;
  private callsInProgress = 0;

  constructor(
    private readonly socket: WebSocket,
    private readonly transport: Pick<Socket, 'bytesRead' | 'bytesWritten'>,
    private readonly registry: LinkMethodRegistry,
    private readonly clock: Clock,
    private readonly liveness: LinkLiveness,
  ) {
    this.meter = new MessageMeter(registry.messageCounts);
    const server = new JSONRPCServer({errorListener: () => undefined});
    const client = new JSONRPCClient(payload => this.send(payload));
    this.peer = new JSONRPCServerAndClient(server, client, {
      errorListener: () => undefined,
    });
    for (const method of registry.list()) this.registerMethod(method);
  }

  get isOpen(): boolean {
    return this.socket.readyState === this.socket.OPEN;
  }

  get closed(): AbortSignal {
    return this.closing.signal;
  }

  get earliestSendTime(): number {
    return this.liveness.earliestSendTime;
  }

  get traffic(): LinkTraffic {
    const {bytesWritten, bytesRead} = this.transport;
    return {sentBytes: bytesWritten, receivedBytes: bytesRead};
  }

  /** Background loop of the connection: reads messages until it closes. */
  async run(): Promise<void> {
    void this.liveness.run(this.closing.signal);
    try {
      const messages = on(this.socket, 'message', {close: ['close']});
      for await (const [data] of messages) this.receive(String(data));
    } catch {
      this.socket.terminate();
    } finally {
      this.closing.abort();
      this.peer.rejectAllPendingRequests('link closed');
    }
  }

  async call<Input, Result>(
    method: LinkMethod<Input, Result>,
    input: Input,
    deadline: number,
  ): Promise<Result> {
    if (!this.isOpen) {
      throw new ChicoryspringError('peer-unreachable', 'the link is not open');
    }
    const answer = Promise.resolve(this.peer.request(method.name, input));
    const result = await withDeadline(
      this.clock,
      deadline,
      answer.catch(thrown => {
        throw LinkErrorCodec.decode(thrown);
      }),
      () =>
        new ChicoryspringError(
          'outcome-unknown',
          `${method.name}: no result by the deadline`,
        ),
    );
    return parseResult(method, result);
  }

  notify<Input>(method: LinkMethod<Input, unknown>, input: Input): void {
    if (this.isOpen) this.peer.notify(method.name, input);
  }

  close(): void {
    this.closeWith(NORMAL_CLOSURE_CODE, '');
  }

  /** Closes the socket; terminates it if the peer doesn't close in time. */
  private closeWith(code: number, reason: string): void {
    this.socket.close(code, reason);
    const deadline = this.clock.now() + CLOSE_TIMEOUT_MILLISECONDS;
    void this.clock
      .sleepUntil(deadline, this.closing.signal)
      .then(() => this.socket.terminate());
  }

  private registerMethod(method: LinkMethod<unknown, unknown>): void {
    this.peer.addMethod(method.name, async (input: unknown) => {
      try {
        const validInput = parse(method.input, input, method.name);
        return await this.handle(method.name, validInput);
      } catch (thrown) {
        throw LinkErrorCodec.encode(thrown);
      }
    });
  }

  private async handle(name: string, input: unknown): Promise<unknown> {
    if (this.callsInProgress >= MAX_CALLS_IN_PROGRESS) {
      throw new ChicoryspringError('overloaded', 'too many calls on the link');
    }
    this.callsInProgress += 1;
    try {
      return await this.registry.handle(name, input, this);
    } finally {
      this.callsInProgress -= 1;
    }
  }

  private receive(text: string): void {
    const payload = parseJson(text);
    if (payload === undefined) {
      this.closeWith(PROTOCOL_ERROR_CODE, 'malformed message');
      return;
    }
    this.meter.count('received', payload, text.length);
    // Fails if the link closes before the answer is sent: then the call of the
    // other side fails too. A message that is not JSON-RPC is dropped.
    this.peer.receiveAndSend(payload).catch(() => undefined);
  }

  private send(payload: object): void {
    if (!this.isOpen) {
      throw new ChicoryspringError('link-closed', 'the link is not open');
    }
    const text = JSON.stringify(payload);
    this.meter.count('sent', payload, text.length);
    this.socket.send(text);
    if (this.socket.bufferedAmount > MAX_UNSENT_BYTES) this.socket.terminate();
  }
}

/** Throws `answer-incomplete`: an invalid result leaves the outcome unknown. */
function parseResult<Input, Result>(
  method: LinkMethod<Input, Result>,
  value: unknown,
): Result {
  try {
    return parse(method.result, value, method.name);
  } catch (thrown) {
    const {message} = thrown as Error;
    throw new ChicoryspringError('answer-incomplete', message);
  }
}

function parse<T>(
  schema: v.GenericSchema<unknown, T>,
  value: unknown,
  name: string,
): T {
  const parsed = v.safeParse(schema, value);
  if (parsed.success) return parsed.output;
  const details = parsed.issues.map(issue => issue.message);
  throw new ChicoryspringError(
    'malformed-message',
    `${name}: ${details.join('; ')}`,
    details,
  );
}

function parseJson(text: string): object | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}
