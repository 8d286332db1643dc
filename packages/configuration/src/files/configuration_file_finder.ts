import {readdirSync, statSync} from 'node:fs';
import {join} from 'node:path';

const EXTENSIONS = /\.(ya?ml|json)$/;

/** Returns the file at a path, or the YAML and JSON files below a folder. */
export function findConfigurationFiles(path: string): readonly string[] {
  if (!statSync(path).isDirectory()) return [path];
  return readdirSync(path, {recursive: true})
    .map(String)
    .filter(name => EXTENSIONS.test(name))
    .sort()
    .map(name => join(path, name));
}
