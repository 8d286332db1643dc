import {createRequire} from 'node:module';
import checkFile from 'eslint-plugin-check-file';

const require = createRequire(import.meta.url);
const gts = require('gts');

// gts names a project file; the project service finds each package's own.
function withoutProject(block) {
  const parserOptions = block.languageOptions?.parserOptions;
  if (!parserOptions) return block;
  const others = {...parserOptions};
  delete others.project;
  return {
    ...block,
    languageOptions: {...block.languageOptions, parserOptions: others},
  };
}

const ABBREVIATIONS =
  '/^(req|res|ctx|cfg|conf|err|msg|cb|fn|idx|tmp|num|str|obj|arr|param|params|args|opts|env|addr|conn|srv|svc|mgr|impl|util|utils|pkg|dir|ms|secs|cpu|mem)$/';

const SHAPE_RULES = [
  {
    selector:
      'Program > ExportNamedDeclaration[declaration] ~ ExportNamedDeclaration[declaration]',
    message: 'One export a file.',
  },
  {
    selector: 'ExportDefaultDeclaration',
    message: 'No default exports.',
  },
  {
    selector: 'TSPropertySignature[readonly!=true]',
    message: 'Data is read-only: mark the member readonly.',
  },
  {
    selector:
      'TSArrayType:not(TSTypeOperator[operator="readonly"] > TSArrayType):not(VariableDeclarator > Identifier > TSTypeAnnotation > TSArrayType):not(PropertyDefinition > TSTypeAnnotation > TSArrayType)',
    message: 'Data is read-only: use readonly T[].',
  },
  {
    selector: `Identifier[name=${ABBREVIATIONS}]:not(MemberExpression > Identifier.property):not(Property > Identifier.key)`,
    message: 'Whole words in names.',
  },
];

export default [
  {
    ignores: [
      '**/dist/**',
      'target/**',
      'journal/**',
      '**/node_modules/**',
      'docs/**',
    ],
  },
  ...gts.map(withoutProject),
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {parserOptions: {projectService: true}},
    plugins: {'check-file': checkFile},
    rules: {
      'no-restricted-syntax': ['error', ...SHAPE_RULES],
      'no-restricted-imports': [
        'error',
        {patterns: ['@chicoryspring/stand-ins', '@chicoryspring/stand-ins/*']},
      ],
      'check-file/filename-naming-convention': [
        'error',
        {'{packages,platform}/**/*.ts': '+([a-z0-9])*(_+([a-z0-9]))'},
      ],
      'max-lines': ['error', {max: 300}],
      'max-lines-per-function': ['error', {max: 60, skipComments: true}],
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
    },
  },
  {
    files: [
      '{packages,platform}/**/*_spec.ts',
      '{packages,platform}/**/spec/**/*.ts',
    ],
    rules: {'max-lines-per-function': 'off'},
  },
  {
    files: ['packages/agent/src/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: ['@chicoryspring/stand-ins', '@chicoryspring/stand-ins/*'],
          paths: [
            {
              name: '@chicoryspring/jobs',
              message:
                'Import the file: the index loads what agents do not use.',
            },
          ],
        },
      ],
    },
  },
  {
    files: ['packages/bench/**/*.ts', 'packages/stand-ins/**/*.ts'],
    rules: {'no-restricted-imports': 'off'},
  },
];
