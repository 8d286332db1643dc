import {plainSetting} from './plain_setting.js';
import {settingSchemas} from './setting_schemas.js';
import type {Setting} from './setting_types.js';

/** Budget of request bodies in flight; each role has a default of its own. */
export function bodyBudgetSetting(defaultText: string): Setting {
  return plainSetting(
    'body-budget-mebibytes',
    'Mebibytes of request bodies held at once; more are refused',
    settingSchemas.bodyBudget,
    defaultText,
  );
}
