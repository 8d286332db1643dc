import type {Command} from '../command/command_types.js';
import type {CommandResult} from '../command/command_result_types.js';
import type {Invocation} from '../command/invocation_types.js';
import {OptionReader} from '../command/option_reader.js';
import {answerSchemas} from '../client/answer_schemas.js';
import {tableLines} from '../output/table_lines.js';

const FILTERS = ['actor', 'action', 'object', 'outcome', 'since', 'limit'];

/** `audit`: lists who changed what, and when. */
export class AuditCommand implements Command {
  readonly usage = 'audit';
  readonly description = 'Show who changed what, newest first';
  readonly options = [
    {flag: '--actor <name>', description: 'Changes made by this operator'},
    {
      flag: '--action <action>',
      description:
        'configuration, take-out, bring-back, eviction or quarantine',
    },
    {
      flag: '--object <text>',
      description: 'Changes of objects whose kind or name contains this text',
    },
    {flag: '--outcome <outcome>', description: 'accepted, or an error kind'},
    {
      flag: '--since <time>',
      description: 'Changes since this time, in ISO 8601',
    },
    {
      flag: '--limit <count>',
      description: 'Maximum number of records; 100 if left out',
    },
  ];
  readonly examples = [
    'chicoryspring audit --action take-out',
    'chicoryspring audit --since 2026-12-01 --limit 20',
  ];

  async run(invocation: Invocation): Promise<CommandResult> {
    const options = new OptionReader(invocation.options);
    const query = Object.fromEntries(
      FILTERS.map(name => [name, options.text(name)]),
    );
    const {records} = await invocation
      .client()
      .call({method: 'GET', path: '/v1/audit', query}, answerSchemas.audit);
    const rows = records.map(record => [
      record.at,
      record.actor,
      record.action,
      record.object,
      `from revision ${record.fromRevision}`,
      record.outcome,
      record.summary,
    ]);
    const lines = rows.length === 0 ? ['no records'] : tableLines(rows);
    return {exit: 'done', value: {records}, lines};
  }
}
