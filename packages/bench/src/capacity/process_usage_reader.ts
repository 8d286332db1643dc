import {readFileSync} from 'node:fs';
import type {ProcessUsage} from './process_usage_types.js';

/** Length of one tick of Linux's process times. */
const TICK_MILLISECONDS = 10;
const KIBIBYTES_PER_MEBIBYTE = 1_024;
/** Positions of user and system time after the name in /proc/PID/stat. */
const USER_TIME = 11;
const SYSTEM_TIME = 12;

/** Reads the use of a process from /proc. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME]) + Number(fields[SYSTEM_TIME]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const resident = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  const transfers = readFileSync(`/proc/${pid}/io`, 'utf8');
  const read = Number(/rchar: (\d+)/.exec(transfers)?.[1] ?? 0);
  const written = Number(/wchar: (\d+)/.exec(transfers)?.[1] ?? 0);
  return {
    processorMilliseconds: ticks * TICK_MILLISECONDS,
    residentMebibytes: resident / KIBIBYTES_PER_MEBIBYTE,
    transferredBytes: read + written,
  };
}
