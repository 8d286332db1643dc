import * as v from 'valibot';
import {ChicoryspringError} from '@chicoryspring/contracts';
import type {Caller} from '@chicoryspring/callers';
import {checkConfiguration} from '@chicoryspring/configuration';
import {
  jsonAnswer,
  parseJsonBody,
  type HttpAnswer,
  type HttpRequest,
} from '@chicoryspring/http-server';
import type {EntryProcess} from '../process/entry_process.js';
import type {EntryRoute} from './entry_route_types.js';

const OK = 200;
/** Conflicts with other operators after which a take-out gives up. */
const MOST_CONFLICTS = 20;

const setSchema = v.strictObject({objects: v.array(v.unknown())});

type OperatorAnswer = (
  request: HttpRequest,
  operator: Caller,
) => Promise<HttpAnswer>;

/** Routes of operators: configuration, failure domains and status. */
export function createOperatorRoutes(
  entry: EntryProcess,
): readonly EntryRoute[] {
  const route = (
    method: EntryRoute['method'],
    path: string,
    answer: OperatorAnswer,
  ): EntryRoute => ({
    access: 'operator',
    method,
    path,
    answer,
  });
  return [
    route('GET', '/v1/configuration', async () => {
      const {revision, document} = entry.live.configuration.current;
      return configurationAnswer(revision, document.objects);
    }),
    route('PUT', '/v1/configuration', async (request, operator) => {
      const expected = expectedRevision(request);
      const objects = parseSet(request.body);
      const {name} = operator;
      const published = await entry.publisher.publish(objects, expected, name);
      await entry.live.refreshConfiguration();
      const {revision, document} = published;
      return configurationAnswer(revision, document.objects);
    }),
    route('POST', '/v1/configuration/check', async request => {
      const {findings} = checkConfiguration(parseSet(request.body));
      return jsonAnswer(OK, {findings});
    }),
    route('POST', '/v1/failure-domains/:name/take-out', (request, operator) =>
      setInService(entry, request, operator, false),
    ),
    route('POST', '/v1/failure-domains/:name/bring-back', (request, operator) =>
      setInService(entry, request, operator, true),
    ),
    route('GET', '/v1/status', async () => jsonAnswer(OK, statusOf(entry))),
  ];
}

function configurationAnswer(
  revision: number,
  objects: readonly object[],
): HttpAnswer {
  return jsonAnswer(OK, {revision, objects}, {etag: `"${revision}"`});
}

function expectedRevision(request: HttpRequest): number {
  const header = request.headers['if-match']?.replaceAll('"', '');
  const revision = Number(header ?? Number.NaN);
  if (Number.isInteger(revision) && revision >= 0) return revision;
  const message = 'If-Match must name the revision to replace';
  throw new ChicoryspringError('malformed-request', message);
}

function parseSet(body: string): readonly unknown[] {
  const checked = v.safeParse(setSchema, parseJsonBody(body));
  if (checked.success) return checked.output.objects;
  const message = 'the body must be {"objects": [...]}';
  throw new ChicoryspringError('malformed-request', message);
}

async function setInService(
  entry: EntryProcess,
  request: HttpRequest,
  operator: Caller,
  inService: boolean,
): Promise<HttpAnswer> {
  const name = request.path['name'] ?? '';
  for (let attempt = 1; ; attempt += 1) {
    const {revision, document} = entry.live.configuration.current;
    const objects = document.objects.map(object =>
      object.kind === 'FailureDomain' && object.name === name
        ? {...object, spec: {...object.spec, inService}}
        : object,
    );
    requireDomain(objects, name);
    try {
      const author = operator.name;
      const {publisher} = entry;
      const published = await publisher.publish(objects, revision, author);
      await entry.live.refreshConfiguration();
      return jsonAnswer(OK, {revision: published.revision, name, inService});
    } catch (thrown) {
      if (!isConflict(thrown) || attempt >= MOST_CONFLICTS) throw thrown;
      await entry.live.refreshConfiguration();
    }
  }
}

function requireDomain(
  objects: readonly {readonly kind: string; readonly name: string}[],
  name: string,
): void {
  const isKnown = objects.some(
    object => object.kind === 'FailureDomain' && object.name === name,
  );
  if (isKnown) return;
  const message = `there is no failure domain ${name}`;
  throw new ChicoryspringError('unknown-object', message);
}

function isConflict(thrown: unknown): boolean {
  return (
    thrown instanceof ChicoryspringError && thrown.kind === 'revision-conflict'
  );
}

function statusOf(entry: EntryProcess): object {
  const {live, table, agents, settings} = entry;
  return {
    entry: settings.name,
    revision: live.configuration.current.revision,
    domainsOut: live.configuration.domainsOut,
    entries: live.entries,
    shards: table.ownedShards,
    workers: agents.workers,
  };
}
