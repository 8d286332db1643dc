import {ChicoryspringError} from '@chicoryspring/contracts';
import {EntryClient} from './entry_client.js';

const TOKEN_VARIABLE = 'CHICORYSPRING_TOKEN';
const SERVER_VARIABLE = 'CHICORYSPRING_SERVER';

type Environment = Readonly<Record<string, string | undefined>>;

/** Creates a client from the option `--server` and the environment. */
export function createEntryClient(
  serverOption: string | undefined,
  environment: Environment,
): EntryClient {
  const servers = (serverOption ?? environment[SERVER_VARIABLE] ?? '')
    .split(',')
    .map(server => server.trim())
    .filter(server => server !== '');
  const token = environment[TOKEN_VARIABLE] ?? '';
  const faults = [
    ...(servers.length === 0
      ? [`--server, ${SERVER_VARIABLE}: is missing`]
      : []),
    ...servers
      .filter(server => !/^https?:\/\//.test(server) || !URL.canParse(server))
      .map(server => `--server, ${SERVER_VARIABLE}: ${server} is no HTTP URL`),
    ...(token === '' ? [`${TOKEN_VARIABLE}: is missing`] : []),
  ];
  if (faults.length === 0) return new EntryClient(servers, token);
  const message = 'the connection settings are incomplete or invalid';
  throw new ChicoryspringError('settings-invalid', message, faults);
}
