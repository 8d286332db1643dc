import {aheadCommand} from '../ahead/ahead_command.js';
import {capacityCommand} from '../capacity/capacity_command.js';
import type {BenchCommand} from './bench_command_types.js';
import {contentionCommand} from '../contention/contention_command.js';
import {decisionsCommand} from '../decisions/decisions_command.js';
import {interferenceCommand} from '../interference/interference_command.js';
import {limitsCommand} from '../limits/limits_command.js';
import {occurrencesCommand} from '../occurrences/occurrences_command.js';
import {pathCommand} from '../path/path_command.js';
import {routerCommand} from '../router/router_command.js';
import {placementCommand} from '../placement/placement_command.js';

/** Every measurement, in the order of the help text. */
export const BENCH_COMMAND_REGISTRY: readonly BenchCommand[] = [
  pathCommand,
  routerCommand,
  limitsCommand,
  decisionsCommand,
  aheadCommand,
  contentionCommand,
  interferenceCommand,
  placementCommand,
  occurrencesCommand,
  capacityCommand,
];
