// Bundles the serving process into one file, which starts in about two thirds of the time and memory
// of separately loaded modules. Start time matters because the process is restarted after a crash.
// The argument names the file to write.
import { build } from 'esbuild';

const DEFAULT_FILE = 'target/citronstage-serve.mjs';

// For the message of a failed assertion, Node.js parses the source line of the assertion from its
// start, which stops the process for seconds if a whole module is one line.
const MAX_LINE_LENGTH = 200;

await build({
  entryPoints: ['target/platform/citronstage-serve.js'],
  outfile: process.argv[2] ?? DEFAULT_FILE,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  mainFields: ['module', 'main'],
  minifySyntax: true,
  minifyWhitespace: true,
  lineLimit: MAX_LINE_LENGTH,
  logLevel: 'warning',
  // Bundled CommonJS modules call require, which ES modules do not define.
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
