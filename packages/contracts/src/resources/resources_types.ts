/** An amount of each resource of a worker. */
export interface Resources {
  readonly processors: number;
  readonly memoryMebibytes: number;
  readonly accelerators: number;
}
