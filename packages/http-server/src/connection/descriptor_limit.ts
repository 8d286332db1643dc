import {readFileSync} from 'node:fs';

const LIMITS_PATH = '/proc/self/limits';
const LIMIT_PATTERN = /^Max open files\s+(\d+)/m;
const DEFAULT_DESCRIPTORS = 4_096;

/** Descriptors that this process may open; a default where it can't be read. */
export function readDescriptorLimit(): number {
  try {
    const text = readFileSync(LIMITS_PATH, 'utf8');
    const [, limit] = LIMIT_PATTERN.exec(text) ?? [];
    return limit === undefined ? DEFAULT_DESCRIPTORS : Number(limit);
  } catch {
    return DEFAULT_DESCRIPTORS;
  }
}
