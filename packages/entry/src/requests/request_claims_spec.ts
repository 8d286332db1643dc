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

/** A table whose updates can be blocked. */
class SlowTable {
  record: ShardRecord | undefined;
  private blocked: Promise<void> = Promise.resolve();
  private resolveBlocked: () => void = () => undefined;

  block(): void {
    this.blocked = new Promise(resolve => (this.resolveBlocked = resolve));
  }

  async unblock(): Promise<void> {
    this.resolveBlocked();
    await new Promise(resolve => setImmediate(resolve));
  }

  async update(_: string, change: Change): Promise<ShardRecord | undefined> {
    await this.blocked;
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

class ClaimsFixture {
  readonly clock = new ManualClock();
  readonly table = new SlowTable();
  runs = 0;
  failure: ErrorKind | undefined;
  private resolveTarget: () => void = () => undefined;
  private targetBlocked: Promise<void> = Promise.resolve();
  private readonly dispatcher = {
    dispatch: async (): Promise<ServiceAnswer> => {
      this.runs += 1;
      await this.targetBlocked;
      if (!this.failure) return ANSWER;
      throw new ChicoryspringError(this.failure, this.failure);
    },
  };
  claims = this.newOwner();

  newOwner(): RequestClaims {
    return new RequestClaims(this.table, this.dispatcher, this.clock);
  }

  blockTarget(): void {
    this.targetBlocked = new Promise(resolve => (this.resolveTarget = resolve));
  }

  async unblockTarget(): Promise<void> {
    this.resolveTarget();
    await new Promise(resolve => setImmediate(resolve));
  }

  async serve(waitMilliseconds = 500, idempotent = false): Promise<string> {
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
    test('still records the answer and replays it', async () => {
      const fixture = new ClaimsFixture();
      fixture.blockTarget();
      const first = fixture.serve(100);
      await fixture.clock.advance(0);
      await fixture.clock.advance(200);
      assert.is(await first, 'unknown');
      await fixture.unblockTarget();
      assert.is(await fixture.serve(), 'paid');
      assert.is(fixture.runs, 1);
    });

    test('is joined by a repeat that waits longer', async () => {
      const fixture = new ClaimsFixture();
      fixture.blockTarget();
      const first = fixture.serve(100);
      const second = fixture.serve(1_000);
      await fixture.clock.advance(200);
      await fixture.unblockTarget();
      assert.equal([await first, await second], ['unknown', 'paid']);
      assert.is(fixture.runs, 1);
    });
  });

  describe('whose owner hands over its shards', test => {
    test('is rejected, so the next owner can run it', async () => {
      const fixture = new ClaimsFixture();
      await fixture.claims.drain();
      assert.is(await fixture.serve(), 'not-run');
      assert.is(fixture.table.record, undefined);
      fixture.claims = fixture.newOwner();
      assert.is(await fixture.serve(), 'paid');
      assert.is(fixture.runs, 1);
    });
  });

  describe('whose commit comes after the deadline', test => {
    test('was not run, and a repeat runs it', async () => {
      const fixture = new ClaimsFixture();
      fixture.table.block();
      const first = fixture.serve(100);
      await fixture.clock.advance(200);
      assert.is(await first, 'not-run');
      await fixture.table.unblock();
      assert.is(fixture.runs, 0);
      assert.is(await fixture.serve(), 'paid');
      assert.is(fixture.runs, 1);
    });

    test('is unknown to the first caller while another still waits', async () => {
      const fixture = new ClaimsFixture();
      fixture.table.block();
      const first = fixture.serve(100);
      const second = fixture.serve(1_000);
      await fixture.clock.advance(200);
      await fixture.table.unblock();
      assert.equal([await first, await second], ['unknown', 'paid']);
      assert.is(fixture.runs, 1);
    });
  });

  describe('whose answer can not be recorded at once', test => {
    test('is answered, and a repeat gets the same answer', async () => {
      const fixture = new ClaimsFixture();
      fixture.blockTarget();
      const first = fixture.serve(5_000);
      await new Promise(resolve => setImmediate(resolve));
      fixture.table.block();
      await fixture.unblockTarget();
      await fixture.clock.advance(1_000);
      assert.is(await first, 'paid');
      assert.is(await fixture.serve(), 'paid');
      await fixture.table.unblock();
      assert.is(await fixture.serve(), 'paid');
      assert.is(fixture.runs, 1);
    });
  });

  describe('whose owner died after the dispatch', test => {
    test('is unknown at the next owner and never runs again', async () => {
      const fixture = new ClaimsFixture();
      fixture.blockTarget();
      void fixture.serve(100);
      await new Promise(resolve => setImmediate(resolve));
      fixture.claims = fixture.newOwner();
      assert.is(await fixture.serve(), 'unknown');
      assert.is(fixture.runs, 1);
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
        const fixture = new ClaimsFixture();
        fixture.failure = kind;
        await fixture.serve();
        await fixture.serve();
        assert.is(fixture.runs, runs);
      });
    }
  });

  describe('of an idempotent request', test => {
    test('is joined, and retried for a caller that waits longer', async () => {
      const fixture = new ClaimsFixture();
      fixture.blockTarget();
      const first = fixture.serve(100, true);
      const second = fixture.serve(1_000, true);
      await fixture.clock.advance(200);
      assert.is(await first, 'unknown');
      await fixture.unblockTarget();
      assert.is(await second, 'paid');
      assert.is(fixture.runs, 1);
      assert.is(fixture.table.record, undefined);
    });
  });
});
