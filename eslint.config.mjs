import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/** Headers, calls and fields of the platform that mean nothing elsewhere. */
const PLATFORM_NAMES = [
  'citronstage-(attempt|response-seal|deadline-ms|expect|pieces|piece-key|inputs|token|prompt-prefix|tenant|not-executed|server-load|cold-ms|request-urgency|pin-ms|hold|kv)',
  '^kv-(from|fetch)$',
  '^server-limit$',
  'stage-(run|free)$',
  'rows-(get|tx|feed|parts)',
  'blob-(put|get|drop|list)',
  '^(row_version|has_more|traffic_split|target_latency_ms|api_keys|max_gap_ms|kv_tokens|headroom_mb|remaining_ms|cold_(left_ms|s|per_s|over|slack))$',
  '^evacuate\\W',
].join('|');

export default [
  { ignores: ['target/**', 'node_modules/**', 'out/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...configs.node.recommended,
  prettier,
  {
    files: ['**/*.ts'],
    rules: {
      // NodeNext resolution needs the .js extension in import specifiers; tsc checks resolution.
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-named-as-default-member': 'off',
      'import-x/no-useless-path-segments': 'off',
      // Named exports only: a file has one main class, and its name is the same everywhere.
      'import-x/prefer-default-export': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      // Classes hold behaviour behind interfaces (layout model); some methods need no state.
      'class-methods-use-this': 'off',
      // Sequential awaits and retry loops are the core of the product.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use Object.entries with for...of.' },
        { selector: 'WithStatement', message: 'with is not allowed.' },
      ],
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      'no-console': 'error',
      'n/no-process-exit': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: false, variables: false, typedefs: false }],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      // A schema and the type inferred from it share one name.
      '@typescript-eslint/no-redeclare': 'off',
      'no-redeclare': 'off',
      // Only where it does not make a one-line return longer.
      '@typescript-eslint/prefer-destructuring': 'off',
      'prefer-destructuring': 'off',
      'max-classes-per-file': ['error', 1],
      'max-lines': ['error', { max: 400 }],
    },
    languageOptions: { parserOptions: { projectService: true } },
  },
  {
    // The platform's names of headers, calls and fields are translated in platform/ only.
    files: ['src/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use Object.entries with for...of.' },
        { selector: 'WithStatement', message: 'with is not allowed.' },
        {
          selector: `Literal[value=/${PLATFORM_NAMES}/i], TemplateElement[value.raw=/${PLATFORM_NAMES}/i]`,
          message: "Names of the platform's protocol belong into platform/.",
        },
      ],
      'no-restricted-imports': [
        'error',
        { patterns: [{ group: ['**/../platform/*'], message: 'src/ does not depend on platform/.' }] },
      ],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: { '@typescript-eslint/no-floating-promises': 'off', 'max-lines': 'off' },
  },
];
