/** How many tasks of one class a worker runs. */
export interface ClassCount {
  readonly taskClass: string;
  readonly tasks: number;
}
