import {mkdir, writeFile} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import {View, parse, type Spec} from 'vega';
import {compile} from 'vega-lite';
import type {ResultTable} from './result_table_types.js';

const FOLDER = fileURLToPath(
  new URL('../../../../docs/results/', import.meta.url),
);
const BAR_STEP_PIXELS = 24;

/** Writes results as Markdown and SVG under docs/results. */
export class ResultWriter {
  /** Writes the files of a table; returns the Markdown. */
  static async write(table: ResultTable): Promise<string> {
    await mkdir(FOLDER, {recursive: true});
    const markdown = toMarkdown(table);
    await writeFile(`${FOLDER}${table.name}.md`, markdown);
    if (table.chart) {
      await writeFile(`${FOLDER}${table.name}.svg`, await toSvg(table));
    }
    return markdown;
  }
}

function toMarkdown(table: ResultTable): string {
  const row = (cells: readonly string[]) => `| ${cells.join(' | ')} |`;
  const lines = [
    `# ${table.title}`,
    '',
    `- Date: ${new Date().toISOString().slice(0, 16)}Z`,
    `- Command: \`${table.command}\``,
    `- Seeds: ${table.seeds.join(', ')}`,
    ...table.remarks.map(remark => `- ${remark}`),
    '',
    row(table.columns),
    row(table.columns.map(() => '---')),
    ...table.rows.map(row),
    '',
    ...(table.chart ? [`![${table.title}](${table.name}.svg)`, ''] : []),
  ];
  return lines.join('\n');
}

async function toSvg({title, chart}: ResultTable): Promise<string> {
  const {spec} = compile({
    title,
    data: {values: [...(chart?.bars ?? [])]},
    mark: 'bar',
    width: {step: BAR_STEP_PIXELS},
    encoding: {
      x: {field: 'bar', type: 'nominal', title: null, sort: null},
      y: {field: 'value', type: 'quantitative', title: chart?.measure ?? ''},
      column: {field: 'group', type: 'nominal', title: null, sort: null},
      color: {field: 'bar', type: 'nominal', title: null, sort: null},
    },
  });
  const view = new View(parse(spec as Spec), {renderer: 'none'});
  return await view.toSVG();
}
