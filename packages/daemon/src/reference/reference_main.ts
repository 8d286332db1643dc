/** `npm run reference`: writes the pages generated from tables in the code. */
import {writeFileSync} from 'node:fs';
import {REFERENCE_PAGE_REGISTRY} from './reference_page_registry.js';

for (const [path, create] of Object.entries(REFERENCE_PAGE_REGISTRY)) {
  writeFileSync(path, create());
}
