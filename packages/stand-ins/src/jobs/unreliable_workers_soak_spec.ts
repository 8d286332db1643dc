import * as assert from 'uvu/assert';
import {createSeededRandom, describe} from '@chicoryspring/testing';
import {UnreliableWorkers} from './unreliable_workers.js';

/** First and last seed; `SOAK_SEEDS=1-300` asks for more. */
const [FIRST_SEED = 1, LAST_SEED = FIRST_SEED] = (
  process.env['SOAK_SEEDS'] ?? '1-6'
)
  .split('-')
  .map(Number);
const TROUBLE_MILLISECONDS = 50_000;
/** Time without trouble, in which agents join again and every job can end. */
const RECOVERY_MILLISECONDS = 45_000;

describe('unreliable workers', () => {
  describe('whose agents, links and lives end as well', test => {
    for (let seed = FIRST_SEED; seed <= LAST_SEED; seed += 1) {
      test(`run each task once at a time and to its end, seed ${seed}`, async () => {
        const workers = new UnreliableWorkers(createSeededRandom(seed));
        await workers.start();
        await workers.pass(TROUBLE_MILLISECONDS, true);
        workers.recover();
        await workers.pass(RECOVERY_MILLISECONDS, false);
        const {history} = workers.fleet;
        assert.equal(history.concurrentRuns, []);
        assert.equal(history.repeatedRuns, []);
        assert.equal(workers.unfinished, []);
        assert.ok(workers.acceptedCount > 0);
      });
    }
  });
});
