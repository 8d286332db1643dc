import * as assert from 'uvu/assert';
import {ChicoryspringError, type ErrorKind} from '@chicoryspring/contracts';
import {ManualClock, describe} from '@chicoryspring/testing';
import {AuditTrail} from '../audit/audit_trail.js';
import type {ConfigurationRevision} from '../document/configuration_revision_types.js';
import type {ConfigurationObject} from '../objects/configuration_object_types.js';
import {FakeStore} from '../spec/fake_store.js';
import {ConfigurationPublisher} from './configuration_publisher.js';
import {ConfigurationReader} from './configuration_reader.js';

const DOMAIN: ConfigurationObject = {
  kind: 'FailureDomain',
  name: 'kinangop',
  spec: {inService: true},
};
const ALL_RECORDS = {limit: 100};

function createParts() {
  const store = new FakeStore();
  const clock = new ManualClock();
  const audit = new AuditTrail(store.asStore, clock);
  const publisher = new ConfigurationPublisher(store.asStore, audit, clock);
  const reader = new ConfigurationReader(store.asStore);
  const publish = (
    author: string,
    expectedRevision: number,
  ): Promise<ConfigurationRevision> =>
    publisher.publish({
      objects: [DOMAIN],
      replaced: [],
      expectedRevision,
      author,
      action: 'configuration',
      subject: 'configuration',
    });
  return {store, audit, reader, publish};
}

type Parts = ReturnType<typeof createParts>;

async function errorKindOf(
  work: Promise<unknown>,
): Promise<ErrorKind | undefined> {
  try {
    await work;
    return undefined;
  } catch (thrown) {
    return (thrown as ChicoryspringError).kind;
  }
}

interface FaultCase {
  readonly what: string;
  readonly prepare: (parts: Parts) => void;
  readonly kind: ErrorKind | undefined;
  readonly authors: readonly string[];
}

const FAULT_CASES: readonly FaultCase[] = [
  {
    what: 'no fault',
    prepare: () => undefined,
    kind: undefined,
    authors: ['first'],
  },
  {
    what: 'the reply is lost after the write took effect',
    prepare: ({store}) => store.writeFaults.push('reply-lost'),
    kind: undefined,
    authors: ['first'],
  },
  {
    what: 'the write is lost',
    prepare: ({store}) => store.writeFaults.push('write-lost'),
    kind: undefined,
    authors: ['first'],
  },
  {
    what: 'the store goes down after the write took effect',
    prepare: ({store}) => store.writeFaults.push('down'),
    kind: 'store-outcome-unknown',
    authors: ['first'],
  },
  {
    what: 'the store is down before the write',
    prepare: ({store}) => (store.isDown = true),
    kind: 'store-unavailable',
    authors: [],
  },
  {
    what: 'another operator comes first',
    prepare: ({store, publish}) =>
      (store.beforeWrite = async () => void (await publish('second', 0))),
    kind: 'revision-conflict',
    authors: ['second'],
  },
  {
    what: 'another entry writes the audit trail first',
    prepare: ({store, audit}) =>
      (store.beforeWrite = () =>
        audit.append([
          {
            actor: 'entry-2',
            action: 'eviction',
            object: 'Task/one',
            summary: '',
            fromRevision: 0,
            outcome: 'accepted',
          },
        ])),
    kind: undefined,
    authors: ['first', 'entry-2'],
  },
];

describe('configuration publisher', () => {
  describe('with a fault', test => {
    for (const {what, prepare, kind, authors} of FAULT_CASES) {
      test(`${what} gives ${kind ?? 'a revision'}`, async () => {
        const parts = createParts();
        prepare(parts);
        assert.is(await errorKindOf(parts.publish('first', 0)), kind);
        parts.store.isDown = false;
        const records = await parts.audit.read(ALL_RECORDS);
        assert.equal(
          records.map(record => record.actor),
          authors,
        );
      });
    }

    test('finds a change with a lost reply after another change followed', async () => {
      const {store, reader, publish} = createParts();
      store.writeFaults.push('reply-lost');
      store.afterWrite = async () => {
        const {revision} = await reader.read();
        await publish('second', revision);
      };
      const published = await publish('first', 0);
      const current = await reader.read();
      assert.is(current.document.author, 'second');
      assert.ok(published.revision < current.revision);
    });
  });

  describe('history', test => {
    test('lists each revision with its author, newest first', async () => {
      const {reader, publish} = createParts();
      const first = await publish('first', 0);
      const second = await publish('second', first.revision);
      const {changes} = await reader.readPublished();
      assert.equal(
        changes.map(({author, revision}) => ({author, revision})),
        [
          {author: 'second', revision: second.revision},
          {author: 'first', revision: first.revision},
        ],
      );
    });
  });
});
