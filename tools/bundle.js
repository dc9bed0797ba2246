/**
 * Bundles the programs of `platform/` into one file each under `target/`. A program that is spread
 * over a few hundred modules spends most of its start on finding and reading them.
 */
import { build } from 'esbuild';

/** CommonJS libraries in an ES module bundle ask for Node's own modules by `require`. */
const banner = [
  "import { createRequire as hornbeampondCreateRequire } from 'node:module';",
  'const require = hornbeampondCreateRequire(import.meta.url);',
].join('\n');

await build({
  entryPoints: { entry: 'platform/dist/entryMain.js', store: 'platform/dist/storeMain.js' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: { js: banner },
  // A native addon that its library can do without.
  external: ['cbor-extract'],
  // A shorter text is read sooner; names are kept for stack traces.
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  logLevel: 'warning',
});
