const CHECK_PATH = '/v1/services/records/requests';

interface BadRequestCase {
  readonly what: string;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly status: number;
  readonly kind: string;
}

/** Requests that are refused, with the kind from the error table. */
export function createBadRequestCases(
  task: string,
  operatorToken: string,
): readonly BadRequestCase[] {
  const operator = {authorization: `Bearer ${operatorToken}`};
  return [
    {
      what: 'an unknown route',
      method: 'GET',
      path: '/v2/tasks',
      status: 404,
      kind: 'unknown-route',
    },
    {
      what: 'malformed JSON',
      method: 'POST',
      path: '/v1/tasks',
      body: '{"kind":',
      status: 400,
      kind: 'malformed-request',
    },
    {
      what: 'a negative size',
      method: 'POST',
      path: '/v1/tasks',
      body: task.replace('"processors":1', '"processors":-1'),
      status: 400,
      kind: 'malformed-request',
    },
    {
      what: 'an unknown field',
      method: 'POST',
      path: '/v1/tasks',
      body: task.replace('"kind"', '"sort":1,"kind"'),
      status: 400,
      kind: 'malformed-request',
    },
    {
      what: 'no token',
      method: 'POST',
      path: CHECK_PATH,
      headers: {authorization: ''},
      status: 401,
      kind: 'unauthenticated',
    },
    {
      what: 'a wrong token',
      method: 'POST',
      path: CHECK_PATH,
      headers: {authorization: 'Bearer wrong'},
      status: 401,
      kind: 'unauthenticated',
    },
    {
      what: "an operator's route with a caller's token",
      method: 'GET',
      path: '/v1/status',
      status: 403,
      kind: 'forbidden',
    },
    {
      what: 'a service that the caller may not use',
      method: 'POST',
      path: '/v1/services/other/requests',
      status: 403,
      kind: 'forbidden',
    },
    {
      what: 'a non-idempotent request without a key',
      method: 'POST',
      path: CHECK_PATH,
      headers: {'chicoryspring-idempotent': 'false'},
      status: 400,
      kind: 'missing-idempotency-key',
    },
    {
      what: 'a deadline that is no number',
      method: 'POST',
      path: CHECK_PATH,
      headers: {'chicoryspring-deadline-milliseconds': 'soon'},
      status: 400,
      kind: 'malformed-request',
    },
    {
      what: 'an oversize body',
      method: 'POST',
      path: CHECK_PATH,
      body: 'x'.repeat(2 * 1024 * 1024),
      status: 413,
      kind: 'body-too-large',
    },
    {
      what: 'a configuration with a dangling reference',
      method: 'PUT',
      path: '/v1/configuration',
      headers: {...operator, 'if-match': '1'},
      body: '{"objects":[{"kind":"Rack","name":"r","spec":{"failureDomain":"f"}}]}',
      status: 422,
      kind: 'configuration-invalid',
    },
    {
      what: 'a configuration that replaces an old revision',
      method: 'PUT',
      path: '/v1/configuration',
      headers: {...operator, 'if-match': '1'},
      body: '{"objects":[]}',
      status: 409,
      kind: 'revision-conflict',
    },
    {
      what: 'an unknown task',
      method: 'GET',
      path: '/v1/tasks/task-unknown',
      status: 404,
      kind: 'unknown-object',
    },
  ];
}
