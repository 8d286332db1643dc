import * as v from 'valibot';
import {ChicoryspringError} from '@chicoryspring/contracts';
import type {AuditFilter} from '@chicoryspring/configuration';
import {jsonAnswer} from '@chicoryspring/http-server';
import type {Administration} from '../administration/administration.js';
import type {EntryRoute} from './entry_route_types.js';

const OK = 200;
const DEFAULT_LIMIT = '100';
const MAX_LIMIT = 5_000;

interface AuditRoutesParts {
  readonly administration: Administration;
}

const filterSchema: v.GenericSchema<unknown, AuditFilter> = v.strictObject({
  actor: v.optional(v.string()),
  action: v.optional(
    v.picklist([
      'configuration',
      'take-out',
      'bring-back',
      'eviction',
      'quarantine',
    ]),
  ),
  object: v.optional(v.string()),
  outcome: v.optional(v.string()),
  since: v.optional(
    v.pipe(
      v.string(),
      v.check(text => !Number.isNaN(Date.parse(text)), 'must be ISO 8601'),
      v.transform(text => new Date(text).toISOString()),
    ),
  ),
  limit: v.pipe(
    v.optional(v.string(), DEFAULT_LIMIT),
    v.transform(Number),
    v.integer('must be a whole number'),
    v.minValue(1, 'must be at least 1'),
    v.maxValue(MAX_LIMIT, `must be at most ${MAX_LIMIT}`),
  ),
});

/** Route of the audit trail. */
export function createAuditRoutes(
  entry: AuditRoutesParts,
): readonly EntryRoute[] {
  return [
    {
      access: 'operator',
      method: 'GET',
      path: '/v1/audit',
      answer: async request => {
        const filter = parseFilter(request.query);
        return jsonAnswer(OK, {
          records: await entry.administration.audit.read(filter),
        });
      },
    },
  ];
}

function parseFilter(query: unknown): AuditFilter {
  const checked = v.safeParse(filterSchema, query);
  if (checked.success) return checked.output;
  const details = checked.issues.map(
    issue => `${v.getDotPath(issue) ?? ''}: ${issue.message}`,
  );
  const message = `not an audit filter: ${details.join('; ')}`;
  throw new ChicoryspringError('malformed-request', message, details);
}
