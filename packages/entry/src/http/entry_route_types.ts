import type {Caller} from '@chicoryspring/callers';
import type {
  HttpAnswer,
  HttpRequest,
  HttpRoute,
} from '@chicoryspring/http-server';

interface PublicRoute {
  readonly access: 'public';
  readonly answer: (request: HttpRequest) => Promise<HttpAnswer>;
}

interface GuardedRoute {
  /** `operator` routes refuse every caller without the operator role. */
  readonly access: 'caller' | 'operator';
  readonly answer: (
    request: HttpRequest,
    caller: Caller,
  ) => Promise<HttpAnswer>;
}

/** A route of an entry and who may use it. */
export type EntryRoute = Pick<HttpRoute, 'method' | 'path'> &
  (PublicRoute | GuardedRoute);
