import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

function readTests(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) {
      return ['node_modules', 'dist'].includes(entry.name) ? [] : readTests(path);
    }
    return entry.name.endsWith('.test.ts') ? [readFileSync(path, 'utf8')] : [];
  });
}

/** Names of tests in backticks; a code span that is a command or a path is none. */
function namedTests(page: string): string[] {
  return [...page.matchAll(/`([^`]+)`/g)]
    .map((match) => match[1]?.replace(/\s+/g, ' ') ?? '')
    .filter((name) => name.includes(' ') && !/^(npm |git |ran: )/.test(name));
}

const sources = ['packages', 'apps', 'platform', 'measure'].map((folder) =>
  readTests(join(root, folder)),
);
const allSources = sources.flat().join('\n').replace(/\\'/g, "'").replace(/\s+/g, ' ');

/** Names that a test file puts together from its cases begin with these words. */
const composedNames = ['Nothing goes wrong in', 'Random schedules catch', 'claimed call: '];

function exists(name: string): boolean {
  if (composedNames.some((start) => name.startsWith(start))) return true;
  return [`'${name}'`, `"${name}"`].some((quoted) => allSources.includes(quoted));
}

// A reader who trusts the page finds the proof it names; a proof that was renamed or removed shows.
['docs/PROMISES.md', 'docs/SPECIFICATION.md'].forEach((page) => {
  test(`${page} names only tests that there are`, () => {
    const names = namedTests(readFileSync(join(root, page), 'utf8'));
    assert.ok(names.length > 20, `${names.length} tests are named`);
    assert.deepEqual(
      names.filter((name) => !exists(name)),
      [],
    );
  });
});
