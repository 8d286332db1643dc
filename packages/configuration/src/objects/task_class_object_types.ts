/** A class of tasks that behave alike; interference is learned by class. */
export interface TaskClassObject {
  readonly kind: 'TaskClass';
  readonly name: string;
  readonly spec: {
    /** Failures on different healthy workers before a task is quarantined. */
    readonly attempts: number;
  };
}
