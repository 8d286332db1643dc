import {readFileSync} from 'node:fs';

/**
 * The failing tests that KNOWN-RED.txt lists, one `test: NAME` line an entry.
 *
 * Only an exact name is passed over, so a new failure beside it still counts.
 */
export class KnownRedList {
  private readonly names: ReadonlySet<string>;

  constructor(path: string) {
    this.names = new Set(readNames(path));
  }

  /** Whether a failing test of this name is listed. */
  lists(testName: string): boolean {
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
