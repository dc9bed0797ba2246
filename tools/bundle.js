/**
 * Bundles each program of `platform/` into one file under `target/`, because resolving and reading
 * several hundred modules would take most of the startup time.
 */
import { build } from 'esbuild';

/** CommonJS libraries in an ES module bundle load built-in Node modules by `require`. */
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
  // An optional native addon.
  external: ['cbor-extract'],
  // Names are not minified, so that stack traces stay readable.
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  logLevel: 'warning',
});
