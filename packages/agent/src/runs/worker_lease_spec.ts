import * as assert from 'uvu/assert';
import {NoOpStateLog} from '@chicoryspring/observability';
import {describe} from '@chicoryspring/testing';
import {EndingList} from './ending_list.js';
import {ManagedRunTable} from './managed_run_table.js';
import {RunPermissions} from './run_permissions.js';
import {WorkerLease} from './worker_lease.js';

const START = 1_000_000;
/**
 * Length of a lease on a clock that is 2% slow and was read 1.5 s before the lease
 * was given.
 */
const LATEST_LEASE_MILLISECONDS = 6_153;
/** Time after which the lease has expired for certain. */
const EXPIRED_MILLISECONDS = 6_600;
/** Time from one extension to the next. */
const DELAY_MILLISECONDS = 500;

/** The lease of a worker that was extended at the start. */
function openLease() {
  const endings = new EndingList();
  const [runs, permissions] = [new ManagedRunTable(), new RunPermissions()];
  const log = new NoOpStateLog();
  const lease = new WorkerLease(runs, endings, permissions, log, 0);
  lease.recordSent(lease.extend(START));
  return {lease, endings};
}

describe('worker lease', () => {
  describe('of a worker whose clock is 2% slow', test => {
    test('does not count as expired before it is', () => {
      const {lease} = openLease();
      assert.ok(lease.expiry > START + LATEST_LEASE_MILLISECONDS);
      assert.ok(lease.expiry <= START + EXPIRED_MILLISECONDS);
    });

    test('covers an end until it has expired, also if the clock was read before', () => {
      const {lease, endings} = openLease();
      const end = {task: 'j.0.0.0', run: 1, checkpoint: ''};
      endings.merge([{...end, number: 1, cause: 'done'}]);
      const isPermittedAfter = (milliseconds: number) =>
        lease.isPermitted(START + milliseconds);
      assert.not(isPermittedAfter(LATEST_LEASE_MILLISECONDS));
      assert.ok(isPermittedAfter(EXPIRED_MILLISECONDS));
    });
  });

  describe('with a call that its connection refused', test => {
    test('is not extended by it', () => {
      const {lease} = openLease();
      const {expiry} = lease;
      const grant = lease.extend(START + DELAY_MILLISECONDS);
      assert.is(lease.expiry, expiry + DELAY_MILLISECONDS);
      lease.recordUnsent(grant);
      assert.is(lease.expiry, expiry);
    });

    test('is extended by another that may have been sent', () => {
      const {lease} = openLease();
      const {expiry} = lease;
      const sent = lease.extend(START + DELAY_MILLISECONDS);
      const refused = lease.extend(START + 2 * DELAY_MILLISECONDS);
      lease.recordUnsent(refused);
      assert.is(lease.expiry, expiry + DELAY_MILLISECONDS);
      lease.recordSent(sent);
      assert.is(lease.expiry, expiry + DELAY_MILLISECONDS);
    });
  });
});
