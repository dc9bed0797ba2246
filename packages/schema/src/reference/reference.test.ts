import assert from 'node:assert/strict';
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import * as z from 'zod';
import { errorKinds } from '../errors/errorKinds.js';
import { commonLogEvents } from '../logEvents/commonLogEvents.js';
import { controllerLogEvents } from '../logEvents/controllerLogEvents.js';
import { entryLogEvents } from '../logEvents/entryLogEvents.js';
import { logEvents } from '../logEvents/logEvents.js';
import { storeLogEvents } from '../logEvents/storeLogEvents.js';
import { metricDefinitions, type MetricDefinition } from '../metrics.js';
import { describeSchema } from './describeSettings.js';
import { fillBlocks } from './generatedBlocks.js';
import { unusedNames } from './unusedNames.js';
import { makeReferencePages } from './referencePages.js';

const root = fileURLToPath(new URL('../../../../', import.meta.url));

/** Returns all sources except packages/schema, packages/testing and the tests. */
function readSources(): string {
  const folders = ['packages', 'apps'].flatMap((parent) =>
    readdirSync(join(root, parent)).map((name) => join(root, parent, name, 'src')),
  );
  folders.push(join(root, 'platform', 'src'));
  const files = folders
    .filter((folder) => !/packages.(schema|testing)/.test(folder))
    .flatMap((folder) =>
      readdirSync(folder, { recursive: true, encoding: 'utf8' }).map((name) => join(folder, name)),
    )
    .filter((file) => file.endsWith('.ts') && !file.endsWith('.test.ts'));
  return files.map((file) => readFileSync(file, 'utf8')).join('\n');
}

// Guards against reference pages that were not regenerated after a change of the code.
Object.entries(makeReferencePages()).forEach(([name, blocks]) => {
  test(`docs/${name} matches the code`, () => {
    const file = new URL(`../../../../docs/${name}`, import.meta.url);
    const page = readFileSync(file, 'utf8');
    assert.equal(page, fillBlocks(page, blocks), 'run "npm run reference"');
  });
});

test('every log event and metric is on its page exactly once', () => {
  const pages = makeReferencePages();
  const logs = Object.values(pages['LOGS.md'] ?? {}).join('\n');
  Object.entries(logEvents).forEach(([name, { number }]) => {
    assert.equal(logs.split(`| ${number}   | \`${name}\``).length, 2, name);
  });
  const numbers = Object.values(logEvents).map(({ number }) => number);
  assert.equal(new Set(numbers).size, numbers.length, 'two events have the same number');
  const metrics = pages['METRICS.md']?.metrics ?? '';
  Object.values(metricDefinitions).forEach(({ name }) => {
    assert.equal(metrics.split(`| \`${name}\``).length, 2, name);
  });
});

// Of two events with the same name in different parts of the catalogue, only the last would remain.
test('no name of a log event is in two parts of the catalogue', () => {
  const names = [commonLogEvents, entryLogEvents, storeLogEvents, controllerLogEvents].flatMap(
    (part) => Object.keys(part),
  );
  assert.deepEqual(
    names.filter((name, position) => names.indexOf(name) !== position),
    [],
  );
  assert.equal(names.length, Object.keys(logEvents).length);
});

test('an outdated block is replaced, and a missing marker is an error', () => {
  const page = '<!-- generated: a; "npm run reference" writes it -->\nold\n<!-- end of a -->\n';
  assert.match(fillBlocks(page, { a: 'new' }), /\nnew\n/);
  assert.throws(() => fillBlocks('nothing here', { a: 'new' }), /no markers of "a"/);
});

test('a settings key without a meaning and a meaning without a key are errors', () => {
  const schema = z.strictObject({ pauseMilliseconds: z.number().int().min(1).max(9).default(3) });
  const table = describeSchema(schema, { pauseMilliseconds: 'a pause' });
  assert.match(table, /\| `pauseMilliseconds` \| ms +\| `3` +\| 1 to 9 \| a pause \|/);
  assert.throws(() => describeSchema(schema, {}), /no meaning is given for pauseMilliseconds/);
  const obsoleteMeanings = { pauseMilliseconds: 'a pause', gone: 'a removed key' };
  assert.throws(() => describeSchema(schema, obsoleteMeanings), /no schema has gone/);
});

// An alert on an event or counter that no code uses would never fire.
test('every name of the catalogues is used in the sources or listed as unused', () => {
  const sources = readSources();
  const metrics: readonly MetricDefinition[] = Object.values(metricDefinitions);
  const names = [
    ...errorKinds,
    ...Object.keys(logEvents),
    ...Object.keys(metricDefinitions),
    ...metrics.flatMap(({ label }) => label?.values ?? []),
  ];
  const unused = [...new Set(names)].filter((name) => !sources.includes(`'${name}'`)).sort();
  assert.deepEqual(unused, [...unusedNames], 'update the list of unused names');
});

// An alert on a renamed metric would never fire.
test('the metrics, error kinds and log numbers in docs/OPERATING.md exist', () => {
  const page = readFileSync(join(root, 'docs/OPERATING.md'), 'utf8');
  const metrics = new Set<string>(Object.values(metricDefinitions).map(({ name }) => name));
  const metricNames = [...page.matchAll(/hornbeampond_[a-z_]+/g)].map(([name]) => name);
  const unknownMetrics = metricNames.filter((name) => !metrics.has(name.replace(/_bucket$/, '')));
  assert.deepEqual(unknownMetrics, []);
  assert.ok(metricNames.length > 10);

  const kinds = [...page.matchAll(/kind=~?"([^"]+)"/g)].flatMap(([, list]) =>
    (list ?? '').replaceAll('\\', '').split('|'),
  );
  const knownKinds: readonly string[] = errorKinds;
  assert.deepEqual(
    kinds.filter((kind) => !knownKinds.includes(kind)),
    [],
  );
  assert.ok(kinds.length > 5);

  const numbers = new Set<number>(Object.values(logEvents).map(({ number }) => number));
  const loggedNumbers = [...page.matchAll(/\blogs? ((?:\d{4}(?:, | and )?)+)/g)].flatMap(
    ([, list]) => (list ?? '').match(/\d{4}/g),
  );
  assert.deepEqual(
    loggedNumbers.filter((number) => !numbers.has(Number(number))),
    [],
  );
  assert.ok(loggedNumbers.length > 10);
});
