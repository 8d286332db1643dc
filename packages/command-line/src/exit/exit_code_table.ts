/** All exit codes of `chicoryspring`; it uses no others. */
export const EXIT_CODE_TABLE = {
  done: {code: 0, meaning: 'done'},
  failed: {
    code: 1,
    meaning: 'rejected or failed; the message gives the reason',
  },
  usage: {code: 2, meaning: 'invalid command, option, file or environment'},
  invalid: {code: 3, meaning: 'the configuration is invalid or unsafe'},
  conflict: {code: 4, meaning: 'another revision is in force'},
  access: {code: 5, meaning: 'the token is unknown or lacks permission'},
  unreachable: {code: 6, meaning: 'no server accepted the request'},
  absent: {code: 7, meaning: 'the named object or task does not exist'},
  late: {code: 8, meaning: 'not in force, or not ended, before the timeout'},
  different: {code: 9, meaning: 'diff found differences'},
  unknown: {
    code: 10,
    meaning: 'the operation may have taken effect; check before repeating',
  },
} as const;
