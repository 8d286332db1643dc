import {createHash} from 'node:crypto';
import {ChicoryspringError} from '@chicoryspring/contracts';
import type {CallerObject} from '@chicoryspring/configuration';
import type {Caller} from './caller_types.js';

const BEARER_PREFIX = 'Bearer ';

type CallersByHash = ReadonlyMap<string, Caller>;

/**
 * Authenticates callers by the hashes of their bearer tokens.
 *
 * Only hashes are compared, so the time of a lookup reveals nothing about a
 * token.
 */
export class CallerAuthenticator {
  private indexedRevision = -1;
  private byHash: CallersByHash = new Map();

  constructor(
    private readonly callers: () => readonly CallerObject[],
    private readonly revision: () => number,
  ) {}

  /**
   * Returns the caller of an authorization header.
   *
   * @throws {ChicoryspringError} `unauthenticated` without a known token
   */
  authenticate(header: string | undefined): Caller {
    if (!header?.startsWith(BEARER_PREFIX)) {
      throw new ChicoryspringError('unauthenticated', 'a token is required');
    }
    const token = header.slice(BEARER_PREFIX.length);
    const tokenHash = createHash('sha256').update(token).digest('hex');
    const found = this.currentIndex().get(tokenHash);
    if (found) return found;
    throw new ChicoryspringError('unauthenticated', 'the token is not known');
  }

  /** Callers by token hash, rebuilt when the configuration revision changes. */
  private currentIndex(): CallersByHash {
    const revision = this.revision();
    if (revision !== this.indexedRevision) {
      const callers = this.callers();
      // Reversed, so that the first caller wins if a token hash is repeated.
      this.byHash = new Map(callers.toReversed().map(toIndexed));
      this.indexedRevision = revision;
    }
    return this.byHash;
  }
}

function toIndexed({name, spec}: CallerObject): [string, Caller] {
  return [spec.tokenHash.toLowerCase(), {name, ...spec}];
}
