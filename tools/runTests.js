/**
 * Runs every compiled test file with node:test and decides the verdict.
 *
 * A test named in the first column of `KNOWN-RED.txt` (columns are separated by ` | `) may fail
 * without failing the run; its result is printed. An unfiltered run fails if a listed name matches
 * no test, so that a renamed test does not hide its known fault. A line that begins with
 * `played day: ` names a fault that no test shows; it is only printed.
 *
 * Files named `*.serial.test.ts` run after all others, one at a time: they press a process to its limits,
 * and other load would change what they see.
 */
import { once } from 'node:events';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { dirname, join, relative } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { fileURLToPath } from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
const filters = process.argv.slice(2);

function findTests(folder) {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return entry.name === 'node_modules' ? [] : findTests(path);
    return entry.name.endsWith('.test.js') ? [path] : [];
  });
}

function readKnownRed() {
  const path = join(root, 'KNOWN-RED.txt');
  if (!existsSync(path)) return [];
  return readFileSync(path, 'utf8')
    .split('\n')
    .filter((line) => line.trim() !== '' && !line.startsWith('#'))
    .map((line) => line.split(' | ')[0].trim());
}

/** False for stale output of an earlier build, whose source no longer exists. */
function hasSource(path) {
  return existsSync(path.replace(/\/dist\//, '/src/').replace(/\.js$/, '.ts'));
}

const files = ['packages', 'apps', 'platform', 'measure']
  .flatMap((folder) => findTests(join(root, folder)))
  .filter(hasSource)
  .filter((path) => filters.length === 0 || filters.some((filter) => path.includes(filter)))
  .sort();
const PLAYED_DAY = 'played day: ';
const listed = readKnownRed();
const playedDays = listed.filter((name) => name.startsWith(PLAYED_DAY));
const knownRed = listed.filter((name) => !name.startsWith(PLAYED_DAY));
const failedKnown = new Set();
const passedKnown = new Set();
const failed = [];
let passed = 0;

if (files.length === 0) {
  console.error(`no compiled test matches ${filters.join(' ') || 'the tree'}; run "npm run build"`);
  process.exit(1);
}

function recordPass(test) {
  if (test.details.type === 'suite') return;
  passed += 1;
  if (knownRed.includes(test.name)) passedKnown.add(test.name);
}

function recordFailure(test) {
  if (test.details.type === 'suite') return;
  if (knownRed.includes(test.name)) failedKnown.add(test.name);
  else failed.push(`${relative(root, test.file ?? '')}: ${test.name}`);
}

function printVerdict() {
  const isKnown = (name) => failedKnown.has(name) || passedKnown.has(name);
  const unknown = filters.length === 0 ? knownRed.filter((name) => !isKnown(name)) : [];
  failedKnown.forEach((name) => console.log(`known red, failed and passed over: ${name}`));
  passedKnown.forEach((name) => console.log(`known red, passed this time: ${name}`));
  playedDays.forEach((name) => console.log(`known red, no test shows it yet: ${name}`));
  unknown.forEach((name) =>
    console.log(`listed in KNOWN-RED.txt but no test has the name: ${name}`),
  );
  failed.forEach((name) => console.log(`failed: ${name}`));
  console.log(`${passed} passed, ${failed.length} failed`);
  process.exitCode = failed.length > 0 || unknown.length > 0 ? 1 : 0;
}

async function runFiles(group, concurrency) {
  if (group.length === 0) return;
  const stream = run({ files: group, concurrency, timeout: 240_000 });
  stream.on('test:pass', recordPass);
  stream.on('test:fail', recordFailure);
  const ended = once(stream, 'end');
  stream.compose(spec).pipe(process.stdout, { end: false });
  await ended;
}

const isSerial = (path) => path.endsWith('.serial.test.js');
await runFiles(
  files.filter((path) => !isSerial(path)),
  6,
);
await runFiles(files.filter(isSerial), 1);
printVerdict();
