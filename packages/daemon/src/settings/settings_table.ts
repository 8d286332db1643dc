import * as v from 'valibot';
import {settingSchemas} from './setting_schemas.js';
import type {Setting} from './setting_types.js';

function setting(
  flag: string,
  description: string,
  schema: Setting['schema'],
  defaultText?: string,
): Setting {
  const common = {flag, description, schema, isSecret: false};
  return defaultText === undefined ? common : {...common, defaultText};
}

function secret(
  flag: string,
  description: string,
  schema: Setting['schema'],
): Setting {
  return {flag, description, schema, isSecret: true};
}

const {
  name,
  host,
  port,
  url,
  urls,
  amount,
  shardCount,
  key,
  hash,
  collector,
  stateLog,
  routingPolicy,
} = settingSchemas;

const linkKey = secret('link-key', 'Shared key of the links', key);
const listenHost = setting('host', 'Address to listen on', host, '127.0.0.1');
const failureDomain = setting(
  'failure-domain',
  'Failure domain it runs in',
  name,
);

const telemetrySettings = [
  {
    ...setting(
      'metrics-address',
      'StatsD collector, for instance 127.0.0.1:8125; no metrics if left out',
      collector,
    ),
    isOptional: true,
  },
  setting(
    'state-log',
    'State log on standard output: lines or none',
    stateLog,
    'lines',
  ),
];

/** Settings of each role, with their defaults and schemas. */
export const SETTINGS_TABLE = {
  entry: [
    setting('name', 'Name of the entry, unique in the fleet', name),
    failureDomain,
    listenHost,
    setting('port', 'Port for HTTP and links', port, '8080'),
    setting('store-url', "URL of the platform's store", url),
    {
      ...setting(
        'megabits-per-second',
        'Rate of the network connection; slow entries own no shards',
        v.optional(amount),
      ),
      isOptional: true,
    },
    setting('shard-count', 'Number of shards in the fleet', shardCount, '32'),
    setting(
      'routing-policy',
      'Policy that chooses the target of a check',
      routingPolicy,
      'power-of-choices',
    ),
    linkKey,
    secret('operator-token-hash', 'SHA-256 of the operator token', hash),
    ...telemetrySettings,
  ],
  agent: [
    setting('worker', 'Name of the worker, unique in the fleet', name),
    failureDomain,
    setting('rack', 'Rack of the worker', name),
    listenHost,
    setting('port', 'Port for the target and health checks', port, '8081'),
    setting('worker-url', 'URL of the worker', url),
    setting(
      'entry-urls',
      'Link URLs of some entries, separated by commas',
      urls,
    ),
    setting('processors', 'Processors of the worker', amount),
    setting('memory-mebibytes', 'Memory of the worker', amount),
    setting('accelerators', 'Accelerators of the worker', amount, '0'),
    linkKey,
    ...telemetrySettings,
  ],
} as const satisfies Readonly<Record<string, readonly Setting[]>>;
