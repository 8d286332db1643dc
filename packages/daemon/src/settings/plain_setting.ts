import type {Setting} from './setting_types.js';

/**
 * A setting whose value may be printed. Without a default text it is required,
 * unless its schema accepts that none is given.
 */
export function plainSetting(
  flag: string,
  description: string,
  schema: Setting['schema'],
  defaultText?: string,
): Setting {
  const common = {flag, description, schema, isSecret: false};
  return defaultText === undefined ? common : {...common, defaultText};
}
