import {createHash} from 'node:crypto';

const HOST_QUOTA = {
  processors: 10_000,
  memoryMebibytes: 100_000_000,
  accelerators: 1_000,
};

interface Example {
  readonly objects: readonly object[];
  readonly callerTokens: Readonly<Record<string, string>>;
}

function caller(name: string, team: string, token: string): object {
  const tokenHash = createHash('sha256').update(token).digest('hex');
  const services = ['records'];
  const requestsInProgress = 256;
  const spec = {team, role: 'caller', tokenHash, services, requestsInProgress};
  return {kind: 'Caller', name, spec};
}

/** A small configuration: domains, a service, classes, teams and callers. */
export function exampleConfiguration(domains: readonly string[]): Example {
  const callerTokens = {
    rangers: 'rangers-local-token',
    villages: 'villages-local-token',
  };
  const team = (name: string) => ({
    kind: 'Team',
    name,
    spec: {quota: HOST_QUOTA, mayBeUrgent: true},
  });
  const taskClass = (name: string) => ({
    kind: 'TaskClass',
    name,
    spec: {attempts: 3},
  });
  return {
    callerTokens,
    objects: [
      ...domains.map(name => ({
        kind: 'FailureDomain',
        name,
        spec: {inService: true},
      })),
      ...domains.map(failureDomain => ({
        kind: 'Rack',
        name: `${failureDomain}-rack-1`,
        spec: {failureDomain},
      })),
      {
        kind: 'Service',
        name: 'records',
        spec: {tailObjectiveMilliseconds: 50, retryShare: 0.1},
      },
      taskClass('reconcile'),
      taskClass('block-watch'),
      team('peatland'),
      team('partners'),
      caller('rangers', 'peatland', callerTokens.rangers),
      caller('villages', 'partners', callerTokens.villages),
      {
        kind: 'Policy',
        name: 'standard',
        spec: {tailWeight: 0.5, workWeight: 0.5},
      },
    ],
  };
}
