import * as v from 'valibot';
import {ChicoryspringError} from '@chicoryspring/contracts';
import {
  diffConfiguration,
  type ConfigurationRevision,
} from '@chicoryspring/configuration';
import {
  jsonAnswer,
  parseJsonBody,
  type HttpAnswer,
} from '@chicoryspring/http-server';
import type {Administration} from '../administration/administration.js';
import type {LiveState} from '../live_state/live_state.js';
import type {EntryRoute} from './entry_route_types.js';
import {RequestFields} from './request_fields.js';

const OK = 200;

interface ConfigurationRoutesParts {
  readonly administration: Administration;
  readonly live: LiveState;
}

const objectSetSchema = v.strictObject({objects: v.array(v.unknown())});

/** Routes of the configuration: read, check, compare, publish, history. */
export function createConfigurationRoutes(
  entry: ConfigurationRoutesParts,
): readonly EntryRoute[] {
  return [
    {
      access: 'operator',
      method: 'GET',
      path: '/v1/configuration',
      answer: async () => toAnswer(entry.live.configuration.current),
    },
    {
      access: 'operator',
      method: 'PUT',
      path: '/v1/configuration',
      answer: async (request, operator) => {
        const published = await entry.administration.changes.replace(
          parseObjectSet(request.body),
          RequestFields.expectedRevision(request),
          operator.name,
          RequestFields.flag(request, 'allowUnsafe'),
        );
        return toAnswer(published);
      },
    },
    {
      access: 'operator',
      method: 'POST',
      path: '/v1/configuration/check',
      answer: async request => {
        const {findings} = entry.administration.changes.check(
          parseObjectSet(request.body),
        );
        return jsonAnswer(OK, {findings});
      },
    },
    {
      access: 'operator',
      method: 'POST',
      path: '/v1/configuration/diff',
      answer: async request => {
        const checked = entry.administration.changes.check(
          parseObjectSet(request.body),
        );
        const {current} = entry.live.configuration;
        const {revision, document} = current;
        const {objects, findings} = checked;
        const differences = diffConfiguration(document.objects, objects);
        return jsonAnswer(OK, {revision, differences, findings});
      },
    },
    historyRoute(entry),
  ];
}

function historyRoute(entry: ConfigurationRoutesParts): EntryRoute {
  return {
    access: 'operator',
    method: 'GET',
    path: '/v1/configuration/history',
    answer: async () => {
      const {changes} = await entry.administration.reader.readPublished();
      return jsonAnswer(OK, {changes});
    },
  };
}

function toAnswer(published: ConfigurationRevision): HttpAnswer {
  const {revision, document} = published;
  const {objects, author} = document;
  const headers = {etag: `"${revision}"`};
  return jsonAnswer(OK, {revision, author, objects}, headers);
}

function parseObjectSet(body: string): readonly unknown[] {
  const checked = v.safeParse(objectSetSchema, parseJsonBody(body));
  if (checked.success) return checked.output.objects;
  const message = 'the body must be {"objects": [...]}';
  throw new ChicoryspringError('malformed-request', message);
}
