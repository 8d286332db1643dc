import * as assert from 'uvu/assert';
import {describe, ManualClock} from '@chicoryspring/testing';
import {SmallChunkPacer} from './small_chunk_pacer.js';

describe('small chunk pacer', () => {
  describe('of bodies that give up', test => {
    test('lets no more bodies go on than of others', async () => {
      const clock = new ManualClock();
      const pacer = new SmallChunkPacer(clock);
      let turns = 0;
      const wait = () => pacer.wait(() => void (turns += 1));
      wait();
      await clock.advance(0);
      for (let count = 0; count < 10; count += 1) wait()();
      for (let count = 0; count < 10; count += 1) wait();
      for (let count = 0; count < 4; count += 1) await clock.advance(50);
      assert.is(turns, 5);
    });
  });
});
