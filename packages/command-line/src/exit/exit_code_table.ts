/** The exit codes of `chicoryspring`; the list is closed. */
export const EXIT_CODE_TABLE = {
  done: {code: 0, meaning: 'done'},
  failed: {code: 1, meaning: 'refused or failed; the message says why'},
  usage: {code: 2, meaning: 'wrong command, option, file or environment'},
  invalid: {code: 3, meaning: 'the configuration is invalid or unsafe'},
  conflict: {code: 4, meaning: 'another revision is in force'},
  access: {code: 5, meaning: 'the token is not known or may not do this'},
  unreachable: {code: 6, meaning: 'no server accepted the connection'},
  absent: {code: 7, meaning: 'the named object or task does not exist'},
  late: {code: 8, meaning: 'not in force, or not ended, within the time'},
  different: {code: 9, meaning: 'diff found differences'},
  unknown: {
    code: 10,
    meaning: 'it may have taken effect; look before repeating',
  },
} as const;
