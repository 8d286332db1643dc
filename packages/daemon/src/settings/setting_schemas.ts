import * as v from 'valibot';
import {linkRateSchema} from '@chicoryspring/contracts';

const MAX_PORT = 65_535;
const HASH_PATTERN = /^[0-9a-f]{64}$/;
const NAME_PATTERN = /^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$/;
const COLLECTOR_PATTERN = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;
const MAX_GRACE_MILLISECONDS = 3_600_000;
const MAX_SHARDS = 1_024;
const MAX_BODY_BUDGET_MEBIBYTES = 1_024;
const MIN_KEY_CHARACTERS = 16;

const numberSchema = v.pipe(v.string(), v.nonEmpty(), v.transform(Number));

function parseCollectorAddress(text: string): {
  readonly host: string;
  readonly port: number;
} {
  const [host = '', port = ''] = text.split(':');
  return {host, port: Number(port)};
}

/** Schemas that parse and check the text of a setting. */
export const settingSchemas = {
  name: v.pipe(v.string(), v.regex(NAME_PATTERN, 'must be a name')),
  host: v.pipe(v.string(), v.ip('must be an IP address')),
  port: v.pipe(
    numberSchema,
    v.integer('must be a port'),
    v.minValue(1, 'must be a port'),
    v.maxValue(MAX_PORT, 'must be a port'),
  ),
  url: v.pipe(v.string(), v.url('must be a URL')),
  urls: v.pipe(
    v.string(),
    v.transform(text => text.split(',')),
    v.array(v.pipe(v.string(), v.url('must be URLs separated by commas'))),
  ),
  amount: v.pipe(
    numberSchema,
    v.finite('must be a number'),
    v.minValue(0, 'must not be negative'),
  ),
  gracePeriod: v.pipe(
    numberSchema,
    v.integer('must be a whole number of milliseconds'),
    v.minValue(1, 'must be at least 1 ms'),
    v.maxValue(MAX_GRACE_MILLISECONDS, 'must be at most an hour'),
  ),
  linkRate: v.pipe(numberSchema, linkRateSchema),
  bodyBudget: v.pipe(
    numberSchema,
    v.integer('must be a whole number of mebibytes'),
    v.minValue(2, 'must be at least 2 MiB'),
    v.maxValue(
      MAX_BODY_BUDGET_MEBIBYTES,
      `must be at most ${MAX_BODY_BUDGET_MEBIBYTES} MiB`,
    ),
  ),
  shardCount: v.pipe(
    numberSchema,
    v.integer('must be a whole number'),
    v.minValue(1, 'must be at least 1'),
    v.maxValue(MAX_SHARDS, `must be at most ${MAX_SHARDS}`),
  ),
  key: v.pipe(
    v.string(),
    v.minLength(
      MIN_KEY_CHARACTERS,
      `must have at least ${MIN_KEY_CHARACTERS} characters`,
    ),
  ),
  collector: v.optional(
    v.pipe(
      v.string(),
      v.regex(COLLECTOR_PATTERN, 'must be an IPv4 address, a colon and a port'),
      v.transform(parseCollectorAddress),
    ),
  ),
  stateLog: v.picklist(['lines', 'none'], 'must be lines or none'),
  routingPolicy: v.picklist(
    [
      'power-of-choices',
      'two-choices',
      'least-connections',
      'round-robin',
      'random',
    ],
    'must be a routing policy',
  ),
  hash: v.pipe(v.string(), v.regex(HASH_PATTERN, 'must be a SHA-256 in hex')),
};
