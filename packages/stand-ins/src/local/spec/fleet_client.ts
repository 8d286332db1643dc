import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import type {StoreFault} from '../../store/store_fault_types.js';
import type {WorkerStart} from '../../worker/worker_start_types.js';
import type {LocalFleet} from '../local_fleet_types.js';

const DEADLINE_MILLISECONDS = 3_000;
const POLL_MILLISECONDS = 100;
const MOST_POLLS = 600;
const ACCEPTED = 202;
const CALLER = 'rangers';
const ID_LENGTH = 32;

type Entry = LocalFleet['entries'][number];

interface Submission {
  /** `accepted`, or the outcome that the refusal told. */
  readonly outcome: string;
  /** Id of an accepted task. */
  readonly id: string | undefined;
  readonly text: string;
}

interface WorkerTasks {
  readonly tasks: readonly {readonly task: {readonly id: string}}[];
}

/** What the process specs ask of a local fleet. */
export class FleetClient {
  constructor(private readonly fleet: LocalFleet) {}

  /** The id that an entry gives to a task of this caller, by its key. */
  static taskIdOf(key: string): string {
    const hash = createHash('sha256').update(`${CALLER}/${key}`).digest('hex');
    return `task-${hash.slice(0, ID_LENGTH)}`;
  }

  /** Submits the example task under a key, once. */
  async submit(
    entry: Entry,
    key: string,
    kind: 'run' | 'watch' = 'run',
  ): Promise<Submission> {
    try {
      const answer = await request(`${entry.url}/v1/tasks`, {
        method: 'POST',
        headers: {...this.headers(), 'idempotency-key': key},
        body: JSON.stringify({...this.fleet.exampleTask, kind}),
      });
      const text = await answer.body.text();
      const told = String(answer.headers['chicoryspring-outcome']);
      if (answer.statusCode !== ACCEPTED) {
        return {outcome: told, id: undefined, text};
      }
      const {id} = JSON.parse(text) as {readonly id: string};
      return {outcome: 'accepted', id, text};
    } catch (thrown) {
      return {outcome: 'unknown', id: undefined, text: String(thrown)};
    }
  }

  /** The answer to a check, or what refused it. */
  async check(entry: Entry, body: string): Promise<string> {
    const path = '/v1/services/records/requests';
    const answer = await request(`${entry.url}${path}`, {
      method: 'POST',
      headers: this.headers(),
      body,
    });
    return await answer.body.text();
  }

  /** HTTP status of the readiness of an entry. */
  async readiness(entry: Entry): Promise<number> {
    const answer = await request(`${entry.url}/readyz`);
    await answer.body.dump();
    return answer.statusCode;
  }

  /** Submits under one key until it is accepted; returns the id. */
  async submitUntilAccepted(
    entry: Entry,
    key: string,
    kind: 'run' | 'watch' = 'run',
  ): Promise<string> {
    for (let tries = 0; tries < MOST_POLLS; tries += 1) {
      const {id} = await this.submit(entry, key, kind);
      if (id) return id;
      await sleep(POLL_MILLISECONDS);
    }
    throw new Error(`${key} was never accepted`);
  }

  /** Asks for the task until it is in one of the states. */
  async waitForState(
    entry: Entry,
    id: string,
    states: readonly string[],
  ): Promise<string> {
    let state = 'unknown';
    for (let tries = 0; tries < MOST_POLLS; tries += 1) {
      state = (await this.stateOf(entry, id)) ?? state;
      if (states.includes(state)) return state;
      await sleep(POLL_MILLISECONDS);
    }
    return state;
  }

  /** Every start that the workers recorded. */
  async starts(): Promise<readonly WorkerStart[]> {
    const lists = await Promise.all(
      this.fleet.workers.map(({url}) =>
        readJson<{readonly starts: readonly WorkerStart[]}>(`${url}/starts`),
      ),
    );
    return lists.flatMap(list => list.starts);
  }

  /** Epochs of a task that were started more than once. */
  async doubledStarts(): Promise<readonly string[]> {
    const names = (await this.starts()).map(one => `${one.task}/${one.epoch}`);
    return names.filter((name, position) => names.indexOf(name) < position);
  }

  /** Tasks that run on several workers now. */
  async doubledTasks(): Promise<readonly string[]> {
    const ids = await this.runningTasks();
    return ids.filter((id, position) => ids.indexOf(id) < position);
  }

  /** Ids of the tasks that run now, once for each worker. */
  async runningTasks(): Promise<readonly string[]> {
    const lists = await Promise.all(
      this.fleet.workers.map(({url}) => readJson<WorkerTasks>(`${url}/tasks`)),
    );
    return lists.flatMap(({tasks}) => tasks.map(({task}) => task.id));
  }

  async setStoreFault(fault: StoreFault): Promise<void> {
    const answer = await request(`${this.fleet.store.url}/faults`, {
      method: 'POST',
      body: JSON.stringify(fault),
    });
    await answer.body.dump();
  }

  private async stateOf(entry: Entry, id: string): Promise<string | undefined> {
    try {
      const answer = await request(`${entry.url}/v1/tasks/${id}`, {
        headers: this.headers(),
      });
      const task = (await answer.body.json()) as {readonly state?: string};
      return task.state;
    } catch {
      return undefined;
    }
  }

  private headers(): Readonly<Record<string, string>> {
    return {
      authorization: `Bearer ${this.fleet.callerTokens[CALLER]}`,
      'content-type': 'application/json',
      'chicoryspring-deadline-milliseconds': String(DEADLINE_MILLISECONDS),
    };
  }
}

async function readJson<T>(url: string): Promise<T> {
  const answer = await request(url);
  return (await answer.body.json()) as T;
}
