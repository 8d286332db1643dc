import type {Task, WorkerAnnouncement} from '@chicoryspring/contracts';
import type {SpreadCount} from './spread_count_types.js';

interface Location {
  readonly group: string;
  /** Keys of the worker, the rack and the failure domain of the task. */
  readonly keys: readonly string[];
}

const ZERO_COUNT: SpreadCount = {onWorker: 0, inRack: 0, inFailureDomain: 0};

/**
 * Counts the tasks of each caller and class by worker, rack and failure domain.
 *
 * Placement uses the counts to spread tasks. An entry counts only the tasks of
 * its own shards. A task's shard is a hash of its id, so an entry's tasks are a
 * random sample, and spreading each sample spreads the whole.
 */
export class TaskSpread {
  private readonly locations = new Map<string, Location>();
  private readonly groups = new Map<string, Map<string, number>>();

  /** Counts a task at its worker; an earlier location no longer counts. */
  add(task: Task, announcement: WorkerAnnouncement): void {
    this.remove(task.id);
    const location = locationOf(task, announcement);
    this.locations.set(task.id, location);
    this.adjust(location, 1);
  }

  /** Removes a task that runs nowhere any more. */
  remove(taskId: string): void {
    const location = this.locations.get(taskId);
    if (!location) return;
    this.locations.delete(taskId);
    this.adjust(location, -1);
  }

  /**
   * Number of tasks of the same caller and class on the worker, in its rack and
   * in its failure domain.
   */
  countMatching(task: Task, announcement: WorkerAnnouncement): SpreadCount {
    const group = this.groups.get(groupOf(task));
    if (!group) return ZERO_COUNT;
    return {
      onWorker: group.get(`worker/${announcement.worker}`) ?? 0,
      inRack: group.get(`rack/${announcement.rack}`) ?? 0,
      inFailureDomain: group.get(`domain/${announcement.failureDomain}`) ?? 0,
    };
  }

  private adjust({group, keys}: Location, delta: number): void {
    const counts = this.groups.get(group) ?? new Map<string, number>();
    this.groups.set(group, counts);
    for (const key of keys) {
      const count = (counts.get(key) ?? 0) + delta;
      if (count > 0) counts.set(key, count);
      else counts.delete(key);
    }
    if (counts.size === 0) this.groups.delete(group);
  }
}

function groupOf(task: Task): string {
  return `${task.caller}/${task.taskClass}`;
}

function locationOf(task: Task, announcement: WorkerAnnouncement): Location {
  const {worker, rack, failureDomain} = announcement;
  const keys = [`worker/${worker}`, `rack/${rack}`, `domain/${failureDomain}`];
  return {group: groupOf(task), keys};
}
