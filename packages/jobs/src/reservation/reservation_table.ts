import type {Reservation} from './reservation_types.js';

/** The reservations of an owner: at most one for each job and each worker. */
export class ReservationTable {
  private readonly byJob = new Map<string, Reservation>();
  private readonly byAgent = new Map<string, Reservation>();
  /** Number of reserved workers of each service. */
  private readonly workerCounts = new Map<string, number>();

  get all(): readonly Reservation[] {
    return [...this.byJob.values()];
  }

  get size(): number {
    return this.byJob.size;
  }

  ofJob(job: string): Reservation | undefined {
    return this.byJob.get(job);
  }

  onAgent(agent: string): Reservation | undefined {
    return this.byAgent.get(agent);
  }

  /** Number of reserved workers of a service. */
  reservedWorkers(service: string): number {
    return this.workerCounts.get(service) ?? 0;
  }

  /** Adds a reservation, or replaces that of the same job. */
  set(reservation: Reservation): void {
    this.delete(reservation.job);
    this.byJob.set(reservation.job, reservation);
    for (const {agent} of reservation.parts)
      this.byAgent.set(agent, reservation);
    this.count(reservation.service, reservation.parts.length);
  }

  delete(job: string): void {
    const known = this.byJob.get(job);
    if (!known) return;
    this.byJob.delete(job);
    for (const {agent} of known.parts) this.byAgent.delete(agent);
    this.count(known.service, -known.parts.length);
  }

  private count(service: string, change: number): void {
    this.workerCounts.set(service, this.reservedWorkers(service) + change);
  }
}
