/** A class of similar tasks; interference is estimated for each class. */
export interface TaskClassObject {
  readonly kind: 'TaskClass';
  readonly name: string;
  readonly spec: {
    /** Failures on different healthy workers before a task is quarantined. */
    readonly attempts: number;
  };
}
