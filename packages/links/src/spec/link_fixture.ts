import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import * as v from 'valibot';
import {ChicoryspringError} from '@chicoryspring/contracts';
import {ManualClock} from '@chicoryspring/testing';
import {LinkDialer} from '../dialer/link_dialer.js';
import type {Link} from '../link/link_types.js';
import {LinkListener} from '../listener/link_listener.js';
import {LinkMethodRegistry} from '../method/link_method_registry.js';
import type {LinkMethod} from '../method/link_method_types.js';
import {PartitionProxy} from './partition_proxy.js';

const LINK_KEY = 'spec-link-key-0123456789';
const POLL_MILLISECONDS = 5;
const MAX_POLLS = 600;

function method(
  name: string,
  input: v.GenericSchema<unknown, unknown>,
  result: v.GenericSchema<unknown, unknown>,
): LinkMethod<unknown, unknown> {
  return {name, input, result};
}

/** Both ends of a link in one process, with a proxy between them. */
export class LinkFixture {
  static readonly echo = method('echo', v.string(), v.string());
  static readonly fail = method('fail', v.null(), v.null());
  static readonly hang = method('hang', v.null(), v.null());
  static readonly invalidResult = method(
    'invalid-result',
    v.null(),
    v.string(),
  );
  static readonly unregistered = method('unregistered', v.null(), v.null());
  static readonly record = method('record', v.number(), v.null());
  readonly clock = new ManualClock();
  readonly received: number[] = [];
  connectCount = 0;
  private readonly registry = new LinkMethodRegistry();
  private readonly listener: LinkListener;
  private readonly server: Server = createServer();
  private dialer!: LinkDialer;
  proxy!: PartitionProxy;

  constructor() {
    this.listener = new LinkListener(this.registry, this.clock, LINK_KEY);
    this.registry.register(LinkFixture.echo, async text => text);
    this.registry.register(LinkFixture.fail, async () => {
      throw new ChicoryspringError('capacity-exceeded', 'full', ['memory']);
    });
    this.registry.register(
      LinkFixture.hang,
      () => new Promise(() => undefined),
    );
    const mistyped = method('invalid-result', v.null(), v.number());
    this.registry.register(mistyped, async () => 7);
    this.registry.register(LinkFixture.record, async count => {
      this.received.push(Number(count));
      return null;
    });
  }

  /** Connects the ends; returns the dialing one. */
  async open(): Promise<Link> {
    this.listener.attach(this.server);
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    this.proxy = new PartitionProxy(
      (this.server.address() as AddressInfo).port,
    );
    const url = `ws://127.0.0.1:${await this.proxy.listen()}`;
    const registry = new LinkMethodRegistry();
    this.dialer = new LinkDialer(url, registry, this.clock, LINK_KEY);
    void this.dialer.run(async () => void (this.connectCount += 1));
    await this.waitUntil(
      () => this.link !== undefined,
      () => this.clock.advance(POLL_MILLISECONDS),
    );
    return this.link!;
  }

  get link(): Link | undefined {
    return this.dialer.link;
  }

  /**
   * Polls until the condition is true; throws if it never is. `passTime` runs
   * between polls. It advances the clock where a retry may be needed: on a busy
   * machine a handshake can exceed its timeout, which follows the real clock.
   */
  async waitUntil(
    condition: () => boolean,
    passTime: () => Promise<void> = async () => undefined,
  ): Promise<void> {
    for (let poll = 0; poll < MAX_POLLS; poll += 1) {
      if (condition()) return;
      await passTime();
      await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS));
    }
    throw new Error('the condition did not become true');
  }

  /** Advances the clock by a second, then waits for pings to be answered. */
  async advanceSecond(): Promise<void> {
    await this.clock.advance(1_000);
    await new Promise(resolve => setTimeout(resolve, 4 * POLL_MILLISECONDS));
  }

  close(): void {
    this.dialer.stop();
    this.proxy.close();
    this.listener.close();
    this.server.close();
  }
}
