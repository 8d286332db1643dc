import {
  toChicoryspringError,
  type ChicoryspringError,
  type Clock,
} from '@chicoryspring/contracts';
import type {HttpRoute} from '@chicoryspring/http-server';
import type {Metrics} from '@chicoryspring/observability';

const NO_ERROR = 'none';

/** Wraps routes with metrics of their outcomes and durations. */
export class RouteMeter {
  constructor(
    private readonly metrics: Metrics,
    private readonly clock: Clock,
  ) {}

  measure(route: HttpRoute): HttpRoute {
    const name = `${route.method} ${route.path}`;
    return {
      ...route,
      admit: headers => {
        try {
          route.admit?.(headers);
        } catch (thrown) {
          throw this.countError(name, thrown);
        }
      },
      answer: async request => {
        const startedAt = this.clock.now();
        try {
          const answer = await route.answer(request);
          this.count(name, 'answered', NO_ERROR);
          return answer;
        } catch (thrown) {
          throw this.countError(name, thrown);
        } finally {
          const duration = this.clock.now() - startedAt;
          this.metrics.timing('entry.request_time', duration, {route: name});
        }
      },
    };
  }

  private countError(route: string, thrown: unknown): ChicoryspringError {
    const error = toChicoryspringError(thrown);
    this.count(route, error.answer.outcome, error.kind);
    return error;
  }

  private count(route: string, outcome: string, kind: string): void {
    this.metrics.increment('entry.requests', {route, outcome, kind});
  }
}
