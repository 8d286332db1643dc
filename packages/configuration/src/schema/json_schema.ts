import {toJsonSchema} from '@valibot/to-json-schema';
import {configurationObjectSchema} from '../objects/configuration_object_schema.js';

/** Returns the JSON Schema of a configuration object, for editors. */
export function createJsonSchema(): string {
  const schema = toJsonSchema(configurationObjectSchema, {
    typeMode: 'input',
    errorMode: 'ignore',
  });
  const titled = {
    $schema: 'http://json-schema.org/draft-07/schema#',
    title: 'Object of a chicoryspring configuration',
    ...schema,
  };
  return `${JSON.stringify(titled, null, 2)}\n`;
}
