import * as assert from 'uvu/assert';
import {
  ChicoryspringError,
  toChicoryspringError,
  type ErrorKind,
  type ServiceAnswer,
  type ServiceRequest,
} from '@chicoryspring/contracts';
import type {ShardRecord} from '@chicoryspring/shards';
import {ManualClock, describe} from '@chicoryspring/testing';
import {RequestClaims} from './request_claims.js';

type Change = (current: ShardRecord | undefined) => ShardRecord | undefined;

/** A table whose store is slow until it is let go. */
class SlowTable {
  record: ShardRecord | undefined;
  private gate: Promise<void> = Promise.resolve();
  private open: () => void = () => undefined;

  hold(): void {
    this.gate = new Promise(resolve => (this.open = resolve));
  }

  async letGo(): Promise<void> {
    this.open();
    await new Promise(resolve => setImmediate(resolve));
  }

  async update(_: string, change: Change): Promise<ShardRecord | undefined> {
    await this.gate;
    this.record = change(this.record);
    return this.record;
  }
}

const ANSWER: ServiceAnswer = {
  requestId: 'one',
  status: 200,
  contentType: 'text/plain',
  body: 'paid',
};

class Bench {
  readonly clock = new ManualClock();
  readonly table = new SlowTable();
  runs = 0;
  failure: ErrorKind | undefined;
  private finish: () => void = () => undefined;
  private held: Promise<void> = Promise.resolve();
  private readonly dispatcher = {
    dispatch: async (): Promise<ServiceAnswer> => {
      this.runs += 1;
      await this.held;
      if (!this.failure) return ANSWER;
      throw new ChicoryspringError(this.failure, this.failure);
    },
  };
  claims = this.newOwner();

  newOwner(): RequestClaims {
    return new RequestClaims(this.table, this.dispatcher, this.clock);
  }

  holdTarget(): void {
    this.held = new Promise(resolve => (this.finish = resolve));
  }

  async letTargetAnswer(): Promise<void> {
    this.finish();
    await new Promise(resolve => setImmediate(resolve));
  }

  async ask(waitMilliseconds = 500, idempotent = false): Promise<string> {
    const request: ServiceRequest = {
      id: 'one',
      caller: 'rangers',
      service: 'records',
      idempotencyKey: 'payment',
      idempotent,
      contentType: 'text/plain',
      body: 'pay',
      deadline: this.clock.now() + waitMilliseconds,
    };
    return await this.claims.serve('claim', 'print', request).then(
      answer => answer.body,
      thrown => toChicoryspringError(thrown).answer.outcome,
    );
  }
}

describe('claim', () => {
  describe('whose caller stops waiting', test => {
    test('records the answer all the same and replays it', async () => {
      const bench = new Bench();
      bench.holdTarget();
      const first = bench.ask(100);
      await bench.clock.advance(0);
      await bench.clock.advance(200);
      assert.is(await first, 'unknown');
      await bench.letTargetAnswer();
      assert.is(await bench.ask(), 'paid');
      assert.is(bench.runs, 1);
    });

    test('is joined by a repeat that waits longer', async () => {
      const bench = new Bench();
      bench.holdTarget();
      const first = bench.ask(100);
      const second = bench.ask(1_000);
      await bench.clock.advance(200);
      await bench.letTargetAnswer();
      assert.equal([await first, await second], ['unknown', 'paid']);
      assert.is(bench.runs, 1);
    });
  });

  describe('whose owner hands over', test => {
    test('is not claimed any more, so the next owner runs it', async () => {
      const bench = new Bench();
      await bench.claims.drain();
      assert.is(await bench.ask(), 'not-run');
      assert.is(bench.table.record, undefined);
      bench.claims = bench.newOwner();
      assert.is(await bench.ask(), 'paid');
      assert.is(bench.runs, 1);
    });
  });

  describe('whose commit comes after the deadline', test => {
    test('was not run, and a repeat runs it', async () => {
      const bench = new Bench();
      bench.table.hold();
      const first = bench.ask(100);
      await bench.clock.advance(200);
      assert.is(await first, 'not-run');
      await bench.table.letGo();
      assert.is(bench.runs, 0);
      assert.is(await bench.ask(), 'paid');
      assert.is(bench.runs, 1);
    });

    test('is unknown to the first while another still waits', async () => {
      const bench = new Bench();
      bench.table.hold();
      const first = bench.ask(100);
      const second = bench.ask(1_000);
      await bench.clock.advance(200);
      await bench.table.letGo();
      assert.equal([await first, await second], ['unknown', 'paid']);
      assert.is(bench.runs, 1);
    });
  });

  describe('whose answer can not be recorded at once', test => {
    test('is answered, and a repeat gets the same answer', async () => {
      const bench = new Bench();
      bench.holdTarget();
      const first = bench.ask(5_000);
      await new Promise(resolve => setImmediate(resolve));
      bench.table.hold();
      await bench.letTargetAnswer();
      await bench.clock.advance(1_000);
      assert.is(await first, 'paid');
      assert.is(await bench.ask(), 'paid');
      await bench.table.letGo();
      assert.is(await bench.ask(), 'paid');
      assert.is(bench.runs, 1);
    });
  });

  describe('whose owner died after the dispatch', test => {
    test('is unknown at the next owner and never runs again', async () => {
      const bench = new Bench();
      bench.holdTarget();
      void bench.ask(100);
      await new Promise(resolve => setImmediate(resolve));
      bench.claims = bench.newOwner();
      assert.is(await bench.ask(), 'unknown');
      assert.is(bench.runs, 1);
    });
  });

  describe('that was refused', test => {
    const REFUSALS: readonly {
      readonly kind: ErrorKind;
      readonly runs: number;
    }[] = [
      {kind: 'no-target', runs: 2},
      {kind: 'link-closed', runs: 1},
      {kind: 'answer-incomplete', runs: 1},
    ];
    for (const {kind, runs} of REFUSALS) {
      test(`as ${kind} runs ${runs} times with its repeat`, async () => {
        const bench = new Bench();
        bench.failure = kind;
        await bench.ask();
        await bench.ask();
        assert.is(bench.runs, runs);
      });
    }
  });

  describe('of an idempotent request', test => {
    test('is joined, and tried again for who waits longer', async () => {
      const bench = new Bench();
      bench.holdTarget();
      const first = bench.ask(100, true);
      const second = bench.ask(1_000, true);
      await bench.clock.advance(200);
      assert.is(await first, 'unknown');
      await bench.letTargetAnswer();
      assert.is(await second, 'paid');
      assert.is(bench.runs, 1);
      assert.is(bench.table.record, undefined);
    });
  });
});
