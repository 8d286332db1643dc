import {ChicoryspringError} from '@chicoryspring/contracts';
import type {Caller, CallerAuthenticator} from '@chicoryspring/callers';
import type {HttpRequest, HttpRoute} from '@chicoryspring/http-server';
import type {EntryRoute} from './entry_route_types.js';

type GuardedAccess = Exclude<EntryRoute['access'], 'public'>;

/** Wraps routes with authentication and the check of the caller's role. */
export class RouteGuard {
  constructor(
    private readonly authenticator: CallerAuthenticator,
    private readonly onRefusal: (error: ChicoryspringError) => void,
  ) {}

  guard(route: EntryRoute): HttpRoute {
    const {method, path} = route;
    if (route.access === 'public') return {method, path, answer: route.answer};
    const {access, answer} = route;
    return {
      method,
      path,
      admit: headers => {
        this.authorize(headers, access);
      },
      answer: async request =>
        await answer(request, this.authorize(request.headers, access)),
    };
  }

  private authorize(
    {authorization}: HttpRequest['headers'],
    access: GuardedAccess,
  ): Caller {
    try {
      const caller = this.authenticator.authenticate(authorization);
      if (access === 'operator') requireOperator(caller);
      return caller;
    } catch (thrown) {
      if (thrown instanceof ChicoryspringError) this.onRefusal(thrown);
      throw thrown;
    }
  }
}

function requireOperator(caller: Caller): void {
  if (caller.role === 'operator') return;
  throw new ChicoryspringError(
    'forbidden',
    `${caller.name} is not an operator`,
  );
}
