import {ApplyCommand} from '../commands/apply_command.js';
import {AuditCommand} from '../commands/audit_command.js';
import {CancelCommand} from '../commands/cancel_command.js';
import {CheckCommand} from '../commands/check_command.js';
import {DiffCommand} from '../commands/diff_command.js';
import {ExplainCommand} from '../commands/explain_command.js';
import {FailureDomainCommand} from '../commands/failure_domain_command.js';
import {GetCommand} from '../commands/get_command.js';
import {HistoryCommand} from '../commands/history_command.js';
import {StatusCommand} from '../commands/status_command.js';
import {SubmitCommand} from '../commands/submit_command.js';
import {TraceCommand} from '../commands/trace_command.js';
import {WaitCommand} from '../commands/wait_command.js';
import type {Command} from './command_types.js';

/** All commands, in the order in which the help lists them. */
export const COMMAND_REGISTRY: readonly Command[] = [
  new ApplyCommand(),
  new CheckCommand(),
  new DiffCommand(),
  new GetCommand(),
  new HistoryCommand(),
  new FailureDomainCommand('take-out', 'Take a failure domain out of service'),
  new FailureDomainCommand(
    'bring-back',
    'Bring a failure domain back into service',
  ),
  new StatusCommand(),
  new AuditCommand(),
  new SubmitCommand(),
  new WaitCommand(),
  new CancelCommand(),
  new ExplainCommand(),
  new TraceCommand(),
];
