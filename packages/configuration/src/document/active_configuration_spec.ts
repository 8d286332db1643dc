import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import type {QueueObject} from '../objects/queue_object_types.js';
import {ActiveConfiguration} from './active_configuration.js';

const QUEUES = 1_400;
const LOOKUPS = 1_000;

/** A configuration whose objects count how often their kind is read. */
function createFixture() {
  let reads = 0;
  const objects = Array.from({length: QUEUES}, (_, number): QueueObject => ({
    get kind() {
      reads += 1;
      return 'Queue' as const;
    },
    name: `q${number}`,
    spec: {
      service: 's',
      priority: 0,
      attempts: 1,
      slackFactor: 1,
      objectiveMilliseconds: 1,
      isAdvised: false,
    },
  }));
  const configuration = new ActiveConfiguration();
  const document = {changeId: '1', author: 'a', objects};
  configuration.adopt({revision: 1, document});
  return {configuration, readCount: () => reads};
}

describe('active configuration', () => {
  describe('with many objects', test => {
    test('is not searched through for each lookup', () => {
      const {configuration, readCount} = createFixture();
      const before = readCount();
      for (let lookup = 0; lookup < LOOKUPS; lookup += 1) {
        assert.is(configuration.objects('Queue').length, QUEUES);
        assert.is(configuration.find('Queue', 'q1399')?.name, 'q1399');
      }
      assert.is(readCount(), before);
    });
  });

  describe('of a later revision', test => {
    test('has only the objects of that revision', () => {
      const {configuration} = createFixture();
      assert.is(configuration.objects('Queue').length, QUEUES);
      const document = {changeId: '2', author: 'a', objects: []};
      configuration.adopt({revision: 2, document});
      assert.equal(configuration.objects('Queue'), []);
      assert.is(configuration.find('Queue', 'q1'), undefined);
    });
  });
});
