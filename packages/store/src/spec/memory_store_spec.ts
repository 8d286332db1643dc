import {SystemClock} from '@chicoryspring/contracts';
import {MemoryStore} from './memory_store_fake.js';
import type {MemoryStoreFault} from './memory_store_fault_types.js';
import {describeStoreContract} from './store_contract.js';

const KIND_OF_FAULT = {
  down: 'refused',
  slow: 'dropped',
  'reply-lost': 'lost',
  'slow-link': 'none',
  stalled: 'dropped',
} as const;

describeStoreContract('in-memory', async () => {
  let kind: MemoryStoreFault['kind'] = 'none';
  const fault = () => ({kind, requestMilliseconds: 0, replyMilliseconds: 0});
  const store = new MemoryStore(new SystemClock(), fault);
  return {
    store,
    injectFault: async name => void (kind = KIND_OF_FAULT[name]),
    clearFault: async () => void (kind = 'none'),
    silenceWatches: async () => void (store.isWatchSilent = true),
    dropWatches: async () => store.dropWatches(),
    close: async () => store.close(),
  };
});
