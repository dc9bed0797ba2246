/**
 * `node FLAGS tools/makeCodeCache.cjs FILE CACHE`: compiles a CommonJS bundle and writes V8's code cache
 * of it. The flags have to be those of the process that uses the cache.
 */
const { readFileSync, writeFileSync } = require('node:fs');
const { wrap } = require('node:module');
const v8 = require('node:v8');
const { Script } = require('node:vm');

const [file, cache] = process.argv.slice(2);

// Compiles all functions, not only those that run at once. The flag is part of what a cache is checked
// against, so it is reset before the cache is made.
v8.setFlagsFromString('--no-lazy');
const script = new Script(wrap(readFileSync(file, 'utf8')), { filename: file });
v8.setFlagsFromString('--lazy');
writeFileSync(cache, script.createCachedData());
