import type {Setting} from './setting_types.js';

/** A required setting that is read from the environment only. */
export function secretSetting(
  flag: string,
  description: string,
  schema: Setting['schema'],
): Setting {
  return {flag, description, schema, isSecret: true};
}
