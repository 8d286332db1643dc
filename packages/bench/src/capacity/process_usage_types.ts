/** What a process has used since it began. */
export interface ProcessUsage {
  readonly processorMilliseconds: number;
  readonly residentMebibytes: number;
  /** Bytes read and written on files and sockets. */
  readonly transferredBytes: number;
}
