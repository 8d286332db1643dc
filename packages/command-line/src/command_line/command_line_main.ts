#!/usr/bin/env node
/** `chicoryspring`: the command line tool for operators and callers. */
import {CommandLine} from './command_line.js';

process.exitCode = await new CommandLine(process.env).run(process.argv);
