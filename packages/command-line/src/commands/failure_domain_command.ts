import type {InferOutput} from 'valibot';
import type {Command} from '../command/command_types.js';
import type {CommandResult} from '../command/command_result_types.js';
import type {Invocation} from '../command/invocation_types.js';
import {OptionReader} from '../command/option_reader.js';
import {answerSchemas} from '../client/answer_schemas.js';

const DEFAULT_WAIT_SECONDS = 10;

type DomainChange = InferOutput<typeof answerSchemas.domainChange>;

/** `take-out` and `bring-back`: set whether a failure domain is in service. */
export class FailureDomainCommand implements Command {
  readonly usage: string;
  readonly examples: readonly string[];
  readonly options = [
    {
      flag: '--wait',
      description: 'Wait until the change is in force at every entry and agent',
    },
    {
      flag: '--within <seconds>',
      description: `Time to wait, at most 60; ${DEFAULT_WAIT_SECONDS} if left out`,
    },
    {
      flag: '--allow-unsafe',
      description:
        'Apply the change even if no failure domain stays in service',
    },
  ];

  constructor(
    private readonly action: 'take-out' | 'bring-back',
    readonly description: string,
  ) {
    this.usage = `${action} <domain>`;
    this.examples = [
      `chicoryspring ${action} kinangop`,
      `chicoryspring ${action} kinangop --wait --within 30`,
    ];
  }

  async run(invocation: Invocation): Promise<CommandResult> {
    const options = new OptionReader(invocation.options);
    const mustWait = options.flag('wait');
    const milliseconds = options.milliseconds('within', DEFAULT_WAIT_SECONDS);
    const domain = encodeURIComponent(invocation.positionalArguments[0] ?? '');
    if (mustWait)
      invocation.progress('waiting until the change is in force everywhere');
    const change = await invocation.client().call(
      {
        method: 'POST',
        path: `/v1/failure-domains/${domain}/${this.action}`,
        headers: {'chicoryspring-deadline-milliseconds': String(milliseconds)},
        query: {
          wait: String(mustWait),
          allowUnsafe: String(options.flag('allowUnsafe')),
        },
      },
      answerSchemas.domainChange,
    );
    const isLate = change.confirmation?.isInForce === false;
    return {
      exit: isLate ? 'late' : 'done',
      value: change,
      lines: describeChange(change),
    };
  }
}

function describeChange(change: DomainChange): readonly string[] {
  const {name, inService, revision, confirmation, moved, remaining} = change;
  const state = inService ? 'in service' : 'out of service';
  const title = `${name} is ${state} at revision ${revision}`;
  if (!confirmation) return [title];
  const {confirmedEntries, confirmedWorkers} = confirmation;
  const missing = [
    ...confirmation.unconfirmedEntries.map(entry => `entry ${entry}`),
    ...confirmation.unconfirmedWorkers.map(worker => `agent of ${worker}`),
  ];
  return [
    title,
    confirmation.isInForce
      ? 'in force everywhere'
      : `not confirmed by ${missing.join(', ')}`,
    `confirmed by entries ${confirmedEntries.join(', ')}`,
    `confirmed by agents of ${confirmedWorkers.join(', ') || 'no worker'}`,
    `tasks that left the domain: ${moved.join(', ') || 'none'}`,
    `tasks still in the domain: ${remaining.join(', ') || 'none'}`,
  ];
}
