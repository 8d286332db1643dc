import {describe} from '@chicoryspring/testing';
import {RivalOwnersSoak} from './rival_owners_soak.js';
import {UnreliableWorkersSoak} from './unreliable_workers_soak.js';

const SEEDS = RivalOwnersSoak.seeds(6);

describe('unreliable workers', () => {
  describe('whose agents, links and lives end as well', test => {
    for (const seed of SEEDS) {
      test(`run each task once at a time and to its end, seed ${seed}`, async () => {
        await UnreliableWorkersSoak.run(seed);
      });
    }
  });
});
