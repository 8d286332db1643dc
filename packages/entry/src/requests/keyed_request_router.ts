import {
  AttemptOutcomes,
  toChicoryspringError,
  type Clock,
  type ErrorKind,
  type ServiceAnswer,
} from '@chicoryspring/contracts';
import type {OperationRouter} from '../operations/operation_router.js';
import {requestOperations} from '../operations/request_operations.js';
import type {KeyedRequest} from './keyed_request_types.js';
import type {RequestClaims} from './request_claims.js';

/** Errors after which the owner of the claim counts as unavailable. */
const OWNER_UNAVAILABLE: ReadonlySet<ErrorKind> = new Set([
  'shard-unowned',
  'peer-unreachable',
  'link-closed',
  'draining',
  'no-target',
]);

/**
 * Routes requests with an idempotency key to the owner of their claim.
 *
 * Only a non-idempotent request needs the claim. While the owner is
 * unavailable, an idempotent request is served by this entry.
 */
export class KeyedRequestRouter {
  constructor(
    private readonly operations: Pick<OperationRouter, 'run' | 'tryOnce'>,
    private readonly claims: Pick<RequestClaims, 'serve'>,
    private readonly clock: Clock,
  ) {}

  /** Serves the request at the owner of its claim, or locally as a fallback. */
  async serve(keyed: KeyedRequest, deadline: number): Promise<ServiceAnswer> {
    const operation = requestOperations.keyed;
    if (!keyed.idempotent) {
      return await this.operations.run(operation, keyed, deadline);
    }
    const outcomes = new AttemptOutcomes();
    try {
      return await this.operations.tryOnce(operation, keyed, deadline);
    } catch (thrown) {
      const error = toChicoryspringError(thrown);
      const finalError = outcomes.recordFailure(error);
      const isLate = this.clock.now() >= deadline;
      if (isLate || !OWNER_UNAVAILABLE.has(error.kind)) throw finalError;
    }
    try {
      return await this.serveLocally(keyed, deadline);
    } catch (thrown) {
      throw outcomes.recordFailure(toChicoryspringError(thrown));
    }
  }

  private async serveLocally(
    keyed: KeyedRequest,
    deadline: number,
  ): Promise<ServiceAnswer> {
    const {claimKey, fingerprint, ...request} = keyed;
    return await this.claims.serve(claimKey, fingerprint, {
      ...request,
      deadline,
    });
  }
}
