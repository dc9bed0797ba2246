import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { findMeasurement, measurements } from './measurements.js';

const page = readFileSync(new URL('../../../docs/CAPACITY.md', import.meta.url), 'utf8');
const named = [...page.matchAll(/npm run measure -- ([a-z-]+)/g)].map(([, name = '']) => name);

const slopes = ['relay', 'control', 'configuration', 'claims', 'recovery'];

test('the capacity page names only measurements that exist', () => {
  const unknown = named.filter((name) => !name.startsWith('--') && !findMeasurement(name));
  assert.deepEqual(unknown, []);
});

test('every measurement of slopes is named on the capacity page', () => {
  const missing = slopes.filter((name) => !named.includes(name));
  assert.deepEqual(missing, []);
});

test('no two measurements have the same name', () => {
  const names = measurements.map(({ name }) => name);
  assert.equal(new Set(names).size, names.length);
});

test('the runner lists every name, and refuses an unknown one with exit code 2', () => {
  const runner = fileURLToPath(new URL('../run.js', import.meta.url));
  const help = spawnSync(process.execPath, [runner, '--help'], { encoding: 'utf8' });
  assert.equal(help.status, 0);
  measurements.forEach(({ name, summary }) => {
    assert.ok(help.stdout.includes(name) && help.stdout.includes(summary), name);
  });
  const unknown = spawnSync(process.execPath, [runner, 'no-such'], { encoding: 'utf8' });
  assert.equal(unknown.status, 2);
});
