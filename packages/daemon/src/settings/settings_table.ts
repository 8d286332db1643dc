import * as v from 'valibot';
import {bodyBudgetSetting} from './body_budget_setting.js';
import {plainSetting} from './plain_setting.js';
import {secretSetting} from './secret_setting.js';
import {settingSchemas} from './setting_schemas.js';
import type {Setting} from './setting_types.js';

const {
  name,
  host,
  port,
  url,
  urls,
  amount,
  gracePeriod,
  linkRate,
  shardCount,
  key,
  hash,
  collector,
  stateLog,
  routingPolicy,
} = settingSchemas;

const linkKey = secretSetting('link-key', 'Shared key of the links', key);
const listenHost = plainSetting(
  'host',
  'Address to listen on',
  host,
  '127.0.0.1',
);
const failureDomain = plainSetting(
  'failure-domain',
  'Failure domain it runs in',
  name,
);

const grace = plainSetting(
  'grace-milliseconds',
  'Time from SIGTERM until the supervisor kills the process',
  gracePeriod,
  '15000',
);

const telemetrySettings = [
  {
    ...plainSetting(
      'metrics-address',
      'StatsD collector, for instance 127.0.0.1:8125; no metrics if left out',
      collector,
    ),
    isOptional: true,
  },
  plainSetting(
    'state-log',
    'State log on standard output: lines or none',
    stateLog,
    'lines',
  ),
];

/** Settings of each role, with their defaults and schemas. */
export const SETTINGS_TABLE = {
  entry: [
    plainSetting('name', 'Name of the entry, unique in the fleet', name),
    failureDomain,
    listenHost,
    plainSetting('port', 'Port for HTTP and links', port, '8080'),
    bodyBudgetSetting('32'),
    plainSetting('store-url', "URL of the platform's store", url),
    {
      ...plainSetting(
        'megabits-per-second',
        'Rate of the network connection; slow entries own no shards',
        v.optional(linkRate),
      ),
      isOptional: true,
    },
    plainSetting(
      'shard-count',
      'Number of shards in the fleet',
      shardCount,
      '32',
    ),
    plainSetting(
      'routing-policy',
      'Policy that chooses the target of a check',
      routingPolicy,
      'power-of-choices',
    ),
    grace,
    linkKey,
    secretSetting('operator-token-hash', 'SHA-256 of the operator token', hash),
    ...telemetrySettings,
  ],
  agent: [
    plainSetting('worker', 'Name of the worker, unique in the fleet', name),
    failureDomain,
    plainSetting('rack', 'Rack of the worker', name),
    listenHost,
    plainSetting('port', 'Port for the target and health checks', port, '8081'),
    bodyBudgetSetting('8'),
    plainSetting('worker-url', 'URL of the worker', url),
    plainSetting(
      'entry-urls',
      'Link URLs of some entries, separated by commas',
      urls,
    ),
    plainSetting('processors', 'Processors of the worker', amount),
    plainSetting('memory-mebibytes', 'Memory of the worker', amount),
    plainSetting('accelerators', 'Accelerators of the worker', amount, '0'),
    grace,
    linkKey,
    ...telemetrySettings,
  ],
} as const satisfies Readonly<Record<string, readonly Setting[]>>;
