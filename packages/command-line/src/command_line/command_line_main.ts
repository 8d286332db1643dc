#!/usr/bin/env node
/** `chicoryspring`: the command line of operators and callers. */
import {cac} from 'cac';

const commandLine = cac('chicoryspring');
commandLine.help();
commandLine.parse();
