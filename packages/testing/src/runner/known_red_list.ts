import {readFileSync} from 'node:fs';

/**
 * The known failing tests of KNOWN-RED.txt, one `test: NAME` line for each.
 *
 * Names are compared exactly, so a new failure in the same spec still counts.
 * A file that can't be read counts as an empty list.
 */
export class KnownRedList {
  private readonly names: ReadonlySet<string>;

  constructor(path: string) {
    this.names = new Set(readNames(path));
  }

  /** Whether the file lists a test of this name. */
  includes(testName: string): boolean {
    return this.names.has(testName);
  }
}

function readNames(path: string): readonly string[] {
  try {
    const lines = readFileSync(path, 'utf8').split('\n');
    return lines
      .filter(line => line.startsWith('test: '))
      .map(line => line.slice('test: '.length).trim());
  } catch {
    return [];
  }
}
