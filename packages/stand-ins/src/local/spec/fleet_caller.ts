import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import type {WorkerStart} from '../../worker/worker_start_types.js';
import type {LocalFleet} from '../local_fleet_types.js';
import type {FleetReply} from './fleet_reply_types.js';
import type {TaskView} from './task_view_types.js';

const CHECK_PATH = '/v1/services/records/requests';
/** Error codes of a connection on which nothing was sent. */
const NOT_CONNECTED = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

const POLL_MILLISECONDS = 100;
const MOST_POLLS = 400;

/** A caller and operator of a local fleet, for specs. */
export class FleetCaller {
  constructor(private readonly fleet: LocalFleet) {}

  /** Sends a check to the entry at a position. */
  async check(
    body: string,
    headers: Readonly<Record<string, string>> = {},
    entry = 0,
  ): Promise<FleetReply> {
    return await this.send('POST', CHECK_PATH, body, headers, entry);
  }

  /** Sends a request as the caller; a failed connection is an outcome too. */
  async send(
    method: 'GET' | 'POST' | 'PUT' | 'DELETE',
    path: string,
    body: string | null = null,
    headers: Readonly<Record<string, string>> = {},
    entry = 0,
  ): Promise<FleetReply> {
    const token = this.fleet.callerTokens['rangers'];
    const authorization = `Bearer ${token}`;
    const url = `${this.fleet.entries[entry]!.url}${path}`;
    const all = {authorization, ...headers};
    try {
      const answer = await request(url, {method, headers: all, body});
      const outcome = String(answer.headers['chicoryspring-outcome']);
      const text = await answer.body.text();
      return {status: answer.statusCode, outcome, text};
    } catch (thrown) {
      const {code, syscall} = thrown as NodeJS.ErrnoException;
      const isUnsent = syscall === 'connect' || NOT_CONNECTED.has(String(code));
      const outcome = isUnsent ? 'not-run' : 'cut-off';
      return {status: 0, outcome, text: `${code} ${String(thrown)}`};
    }
  }

  /** Sends an operator's command, for instance a take-out. */
  async operate(path: string, entry = 0): Promise<FleetReply> {
    const authorization = `Bearer ${this.fleet.operatorToken}`;
    return await this.send('POST', path, null, {authorization}, entry);
  }

  /** Submits the example task with some members replaced; returns its id. */
  async submit(change: object, entry = 0): Promise<string> {
    const body = JSON.stringify({...this.fleet.exampleTask, ...change});
    const reply = await this.send('POST', '/v1/tasks', body, {}, entry);
    if (reply.status !== 202) throw new Error(reply.text);
    return (JSON.parse(reply.text) as {readonly id: string}).id;
  }

  /** Sets the fault of some targets, by position. */
  async setTargetFault(
    fault: object,
    positions: readonly number[],
  ): Promise<void> {
    for (const position of positions) {
      const url = `${this.fleet.targets[position]!.url}/faults`;
      const body = JSON.stringify(fault);
      const answer = await request(url, {method: 'POST', body});
      await answer.body.dump();
    }
  }

  /** Every start that the worker at a position recorded. */
  async starts(position: number): Promise<readonly WorkerStart[]> {
    const answer = await request(`${this.fleet.workers[position]!.url}/starts`);
    const {starts} = (await answer.body.json()) as {
      readonly starts: readonly WorkerStart[];
    };
    return starts;
  }

  /** Every start on all workers, by worker. */
  async allStarts(): Promise<readonly (readonly WorkerStart[])[]> {
    const positions = [...this.fleet.workers.keys()];
    return await Promise.all(positions.map(one => this.starts(one)));
  }

  /** The task as an entry describes it now. */
  async task(id: string, entry = 0): Promise<TaskView> {
    const path = `/v1/tasks/${id}`;
    const reply = await this.send('GET', path, null, {}, entry);
    return JSON.parse(reply.text) as TaskView;
  }

  /** Asks again until every task is in the state; fails after a limit. */
  async untilAll(
    ids: readonly string[],
    state: string,
    entry = 0,
  ): Promise<void> {
    let views: readonly TaskView[] = [];
    for (let poll = 0; poll < MOST_POLLS; poll += 1) {
      views = await Promise.all(ids.map(id => this.task(id, entry)));
      if (views.every(view => view.state === state)) return;
      await sleep(POLL_MILLISECONDS);
    }
    throw new Error(`not ${state}: ${JSON.stringify(views)}`);
  }

  /** How often the targets executed the key, all together. */
  async executions(key: string): Promise<number> {
    let count = 0;
    for (const position of this.fleet.targets.keys()) {
      count += (await this.executionsAt(position))[key] ?? 0;
    }
    return count;
  }

  /** How often the target at a position executed each key. */
  async executionsAt(
    position: number,
  ): Promise<Readonly<Record<string, number>>> {
    const url = `${this.fleet.targets[position]!.url}/executions`;
    const answer = await request(url);
    const {executions} = (await answer.body.json()) as {
      readonly executions: Readonly<Record<string, number>>;
    };
    return executions;
  }
}
