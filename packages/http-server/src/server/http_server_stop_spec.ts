import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import * as assert from 'uvu/assert';
import {planStop, type StopSchedule} from '@chicoryspring/contracts';
import {ManualClock, describe} from '@chicoryspring/testing';
import {jsonAnswer} from '../answer/json_answer.js';
import {RawConnection} from '../spec/raw_connection.js';
import {DEFAULT_HTTP_LIMITS} from './default_http_limits.js';
import {HttpServer} from './http_server.js';

const TERMS = {
  graceMilliseconds: 6_000,
  noticeMilliseconds: 2_300,
  holdMilliseconds: 2_850,
};
const STEP_MILLISECONDS = 100;
const ANSWERED = /^HTTP\/1\.1 200 [^]*connection: close[^]*\{\}$/i;
const REFUSED =
  /^HTTP\/1\.1 503 (?=[^]*retry-after: 0)[^]*connection: close[^]*\}$/i;
const UNKNOWN = /^HTTP\/1\.1 504 [^]*connection: close[^]*"unknown"[^]*\}$/i;

/** A server on a clock of the test, whose `/held` never gets its answer. */
class StopFixture {
  readonly clock = new ManualClock();
  readonly schedule: StopSchedule = planStop(this.clock.now(), TERMS);
  readonly ran: string[] = [];
  isStopped = false;
  private readonly server = new HttpServer(
    [
      {method: 'GET', path: '/fast/:id', answer: ({path}) => this.run(path)},
      {method: 'GET', path: '/held', answer: () => new Promise(() => null)},
      {method: 'POST', path: '/fast/:id', answer: ({path}) => this.run(path)},
    ],
    DEFAULT_HTTP_LIMITS,
    this.clock,
  );

  async listen(): Promise<void> {
    await this.server.listen('127.0.0.1', 0);
  }

  stop(): ReturnType<HttpServer['stop']> {
    const stopped = this.server.stop(this.schedule);
    void stopped.then(() => (this.isStopped = true));
    return stopped;
  }

  async open(): Promise<RawConnection | undefined> {
    return await RawConnection.open(this.port);
  }

  /** Opens a connection and sends a request that stays in progress. */
  async hold(): Promise<RawConnection> {
    const held = (await this.open())!;
    held.get('/held');
    await sleep(20);
    return held;
  }

  async advanceTo(instant: number): Promise<void> {
    while (this.clock.now() < instant) {
      const left = instant - this.clock.now();
      await this.clock.advance(Math.min(left, STEP_MILLISECONDS));
    }
    await sleep(120);
  }

  private get port(): number {
    this.portOnce ??= (this.server.server.address() as AddressInfo).port;
    return this.portOnce;
  }

  private portOnce: number | undefined;

  private async run(path: Readonly<Record<string, string>>) {
    this.ran.push(path['id']!);
    return jsonAnswer(200, {});
  }
}

async function createFixture(): Promise<StopFixture> {
  const fixture = new StopFixture();
  await fixture.listen();
  return fixture;
}

describe('stop of an HTTP server', () => {
  describe('before the last acceptance', test => {
    test('serves, and each answer ends its connection', async () => {
      const fixture = await createFixture();
      const kept = (await fixture.open())!;
      kept.get('/fast/1');
      await sleep(50);
      assert.not.match(kept.received, /connection: close/i);
      const stopped = fixture.stop();
      await fixture.advanceTo(fixture.schedule.begun + 1_000);
      const fresh = (await fixture.open())!;
      fresh.get('/fast/2');
      assert.match(await fresh.untilClosed(), ANSWERED);
      kept.get('/fast/3');
      assert.match(await kept.untilClosed(), /connection: close/i);
      await fixture.advanceTo(fixture.schedule.noticeEnds);
      await stopped;
      assert.equal(fixture.ran, ['1', '2', '3']);
    });

    test('ends as soon as the notice is over and nothing is left', async () => {
      const fixture = await createFixture();
      const idle = (await fixture.open())!;
      idle.get('/fast/1');
      await sleep(50);
      const stopped = fixture.stop();
      await fixture.advanceTo(fixture.schedule.noticeEnds);
      await idle.untilClosed();
      assert.is((await stopped).unanswered, 0);
      assert.ok(fixture.clock.now() <= fixture.schedule.lastAcceptance);
    });
  });

  describe('at the end of the notice', test => {
    test('waits for the first request of a connection just opened', async () => {
      const fixture = await createFixture();
      const fresh = (await fixture.open())!;
      const stopped = fixture.stop();
      await fixture.advanceTo(fixture.schedule.noticeEnds);
      fresh.get('/fast/1');
      assert.match(await fresh.untilClosed(), ANSWERED);
      await stopped;
    });
  });

  describe('after the last acceptance', test => {
    test('refuses at once what arrives on an open connection', async () => {
      const fixture = await createFixture();
      const kept = (await fixture.open())!;
      const held = await fixture.hold();
      const stopped = fixture.stop();
      await fixture.advanceTo(fixture.schedule.lastAcceptance + 1);
      kept.get('/fast/1');
      assert.match(await kept.untilClosed(), REFUSED);
      assert.equal(fixture.ran, []);
      await fixture.advanceTo(fixture.schedule.answersDue);
      assert.match(await held.untilClosed(), UNKNOWN);
      const {inProgress, refused, givenUp, unanswered} = await stopped;
      assert.equal([inProgress, refused, givenUp, unanswered], [1, 1, 1, 0]);
    });
  });

  describe('when answers are due', test => {
    test('refuses a request whose body has not arrived', async () => {
      const fixture = await createFixture();
      const half = (await fixture.open())!;
      half.send(
        'POST /fast/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n',
      );
      const stopped = fixture.stop();
      await fixture.advanceTo(fixture.schedule.answersDue);
      assert.match(await half.untilClosed(), REFUSED);
      await stopped;
      assert.equal(fixture.ran, []);
    });
  });

  describe('at any instant', test => {
    test('a request is answered, refused, or has not run', async () => {
      const fixture = await createFixture();
      const connections: (RawConnection | undefined)[] = [];
      const kept = await Promise.all(
        Array.from({length: 70}, () => fixture.open()),
      );
      const held = await fixture.hold();
      const stopped = fixture.stop();
      for (let id = 0; !fixture.isStopped; id += 1) {
        const fresh = await fixture.open();
        kept[id]?.get(`/fast/kept-${id}`);
        fresh?.get(`/fast/fresh-${id}`);
        connections.push(kept[id], fresh);
        await fixture.clock.advance(STEP_MILLISECONDS);
        if (id % 5 === 0) await sleep(70);
      }
      await stopped;
      assert.ok(fixture.clock.now() < fixture.schedule.deadline);
      assert.match(await held.untilClosed(), UNKNOWN);
      let answered = 0;
      for (const connection of connections) {
        if (!connection) continue;
        const text = await connection.untilClosed();
        if (ANSWERED.test(text)) answered += 1;
        else if (text.startsWith('HTTP')) assert.match(text, REFUSED);
      }
      assert.is(answered, fixture.ran.length);
      assert.ok(answered > 0);
    });
  });
});
