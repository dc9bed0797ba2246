/**
 * Bundles each program of `platform/` into one file under `target/`, because resolving and reading
 * several hundred modules would take most of the startup time. The entry's bundle gets a code cache, see
 * `platform/startEntry.cjs`.
 */
import { execFileSync } from 'node:child_process';
import { build } from 'esbuild';

/** CommonJS libraries in an ES module bundle load built-in Node modules by `require`. */
const banner = [
  "import { createRequire as hornbeampondCreateRequire } from 'node:module';",
  'const require = hornbeampondCreateRequire(import.meta.url);',
].join('\n');

/** The flags in `deploy/system.toml`, which a code cache depends on. */
const NODE_FLAGS = ['--max-old-space-size=200'];

/**
 * The push gateway and the aggregation of a cluster of Node, which no program uses, take 12 ms of processor
 * time to load.
 */
const omitUnusedMetrics = {
  name: 'omitUnusedMetrics',
  setup({ onLoad }) {
    onLoad({ filter: /prom-client\/lib\/(pushgateway|cluster)\.js$/ }, () => ({
      contents: 'module.exports = class {};',
    }));
  },
};

const commonOptions = {
  outdir: 'target',
  bundle: true,
  platform: 'node',
  target: 'node20',
  // An optional native addon. Loading it takes 5 ms of processor time, and messages have few strings.
  external: ['cbor-extract'],
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  plugins: [omitUnusedMetrics],
  // Names are not minified, so that stack traces stay readable.
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  logLevel: 'warning',
};

await build({
  ...commonOptions,
  entryPoints: { store: 'platform/dist/storeMain.js' },
  outExtension: { '.js': '.mjs' },
  format: 'esm',
  banner: { js: banner },
});
await build({
  ...commonOptions,
  entryPoints: { entry: 'platform/dist/entryMain.js' },
  outExtension: { '.js': '.cjs' },
  format: 'cjs',
});
execFileSync(process.execPath, [
  ...NODE_FLAGS,
  'tools/makeCodeCache.cjs',
  'target/entry.cjs',
  'target/entry.cache',
]);
