import {isNode, type Document, type LineCounter} from 'yaml';

/** One object of a file, with a lookup of the line of each field. */
export class SourceObject {
  constructor(
    readonly file: string,
    readonly value: unknown,
    private readonly document: Document.Parsed,
    private readonly lines: LineCounter,
  ) {}

  /** Line of a field, or of the nearest enclosing part that exists. */
  lineOf(field: string): number {
    const path = field === '' ? [] : field.split('.');
    for (let length = path.length; length > 0; length -= 1) {
      const line = this.lineAt(path.slice(0, length));
      if (line !== undefined) return line;
    }
    return this.lineAt([]) ?? 1;
  }

  private lineAt(path: readonly string[]): number | undefined {
    const keys = path.map(key => (/^\d+$/.test(key) ? Number(key) : key));
    const node =
      keys.length === 0
        ? this.document.contents
        : this.document.getIn(keys, true);
    if (!isNode(node) || !node.range) return undefined;
    return this.lines.linePos(node.range[0]).line;
  }
}
