/** `npm run schema`: writes the JSON Schema with which editors check files. */
import {writeFileSync} from 'node:fs';
import {createJsonSchema} from './json_schema.js';

const PATH = 'docs/schema/configuration.schema.json';

writeFileSync(PATH, createJsonSchema());
