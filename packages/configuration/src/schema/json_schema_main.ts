/** `npm run schema`: writes the JSON Schema that editors check files against. */
import {writeFileSync} from 'node:fs';
import {createJsonSchema} from './json_schema.js';

const PATH = 'docs/schema/configuration.schema.json';

writeFileSync(PATH, createJsonSchema());
