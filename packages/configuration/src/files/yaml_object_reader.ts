import {LineCounter, parseAllDocuments, type Document} from 'yaml';
import type {PlacedFinding} from './placed_finding_types.js';
import {SourceObject} from './source_object.js';

interface ParsedText {
  readonly objects: readonly SourceObject[];
  readonly findings: readonly PlacedFinding[];
}

/** Parses a YAML text, in which each document is one object. */
export function readYamlObjects(file: string, text: string): ParsedText {
  const lines = new LineCounter();
  const parsed = parseAllDocuments(text, {lineCounter: lines});
  const documents = 'empty' in parsed ? [] : parsed;
  const objects: SourceObject[] = [];
  const findings: PlacedFinding[] = [];
  for (const document of documents) {
    if (document.errors.length > 0) {
      findings.push(...syntaxFindings(file, document));
      continue;
    }
    if (document.contents === null) continue;
    try {
      const value: unknown = document.toJS();
      objects.push(new SourceObject(file, value, document, lines));
    } catch (thrown) {
      const {message} = thrown as Error;
      findings.push(finding(file, 1, message));
    }
  }
  return {objects, findings};
}

function syntaxFindings(
  file: string,
  document: Document.Parsed,
): readonly PlacedFinding[] {
  return document.errors.map(error => {
    const [message] = error.message.split('\n');
    return finding(file, error.linePos?.[0].line ?? 1, message ?? '');
  });
}

function finding(file: string, line: number, message: string): PlacedFinding {
  return {file, line, object: '', field: '', message, severity: 'invalid'};
}
