import {monitorEventLoopDelay} from 'node:perf_hooks';
import type {Clock} from '@chicoryspring/contracts';
import type {Metrics} from '../metrics/metrics_types.js';
import type {StateLog} from '../state_log/state_log_types.js';

const INTERVAL_MILLISECONDS = 1_000;
/** Interval at which the delay is sampled, in milliseconds. */
const RESOLUTION_MILLISECONDS = 10;
/** Delay that is logged; a twentieth of the lease of an entry. */
const MIN_LOGGED_MILLISECONDS = 100;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;

interface EventLoopMonitorParts {
  readonly clock: Clock;
  readonly log: StateLog;
  readonly metrics: Metrics;
}

/** Reports for how long the event loop was blocked. */
export class EventLoopMonitor {
  constructor(private readonly parts: EventLoopMonitorParts) {}

  /** The background loop, which runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    const histogram = monitorEventLoopDelay({
      resolution: RESOLUTION_MILLISECONDS,
    });
    histogram.enable();
    while (!signal.aborted) {
      await clock.sleepUntil(clock.now() + INTERVAL_MILLISECONDS, signal);
      this.report(histogram.max / NANOSECONDS_PER_MILLISECOND);
      histogram.reset();
    }
    histogram.disable();
  }

  /** A sample has the time between two samples, of which a part is planned. */
  private report(longestSample: number): void {
    const {log, metrics} = this.parts;
    const milliseconds = Math.max(0, longestSample - RESOLUTION_MILLISECONDS);
    metrics.timing('entry.event_loop_delay', milliseconds);
    if (milliseconds < MIN_LOGGED_MILLISECONDS) return;
    log.change('event loop blocked', {milliseconds: Math.round(milliseconds)});
  }
}
