import type {WorkerReport} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';

/**
 * Applies a report that was asked for at a local instant in milliseconds; false if it
 * is outdated.
 */
export type ApplyReport = (
  report: WorkerReport,
  link: Link,
  askedAt: number,
) => boolean;
