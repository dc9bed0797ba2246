import js from '@eslint/js';
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**'] },
  js.configs.recommended,
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.node,
  ...configs.node.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      // Native ECMAScript modules name the file as it is run, ending included.
      'import-x/extensions': 'off',
      // A package's one public list is its index; a file has one main export, named like the file.
      'import-x/prefer-default-export': 'off',
      // Node resolves the workspaces at run time; the compiler checks the same at build time.
      'import-x/no-unresolved': 'off',
      'import-x/no-rename-default': 'off',
      'n/no-missing-import': 'off',
      'n/no-unpublished-import': 'off',
      // Loops over iterators are the clear form for Maps and Sets on the Node versions we run on.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      // Reducers change the state they are given in place; see docs/design/reducers.md.
      'no-param-reassign': ['error', { props: false }],
      'no-underscore-dangle': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'no-await-in-loop': 'off',
      'class-methods-use-this': 'off',
      'max-classes-per-file': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
      'no-use-before-define': 'off',
      'n/no-process-exit': 'off',
      'n/hashbang': 'off',
      // Settings are read once at start, and durable writes are synchronous where order matters.
      'n/no-sync': 'off',
    },
  },
  {
    files: ['**/*.ts'],
    rules: {
      // The compiler sees these as errors; the rule does not see through modern-errors' types.
      '@typescript-eslint/only-throw-error': [
        'error',
        {
          allow: [{ from: 'package', name: 'HornbeampondError', package: '@hornbeampond/schema' }],
        },
      ],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: {
      // node:test returns a promise from each test that the runner itself awaits.
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
  {
    files: ['**/*.cjs'],
    languageOptions: { sourceType: 'commonjs' },
    rules: { '@typescript-eslint/no-require-imports': 'off' },
  },
  {
    files: ['tools/**'],
    rules: {
      // They run in this repository only, where what it is developed with is there.
      'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }],
    },
  },
  {
    files: ['tools/**', 'measure/**', 'apps/ctl/**', 'apps/**/main.ts'],
    rules: { 'no-console': 'off' },
  },
];
