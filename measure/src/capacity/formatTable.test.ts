import assert from 'node:assert/strict';
import { test } from 'node:test';
import { formatCell, formatTable } from './formatTable.js';
import { groupRows } from './groupRows.js';

test('numbers are cut to four digits and end at the right', () => {
  const text = formatTable([
    { role: 'entry', bytes: 12345.678 },
    { role: 'store', bytes: 7 },
  ]);
  assert.equal(text, ['role   bytes', 'entry  12350', 'store      7'].join('\n'));
});

test('a row without a column leaves it empty', () => {
  assert.equal(formatTable([{ a: 'x', b: 'y' }, { a: 'z' }]), ['a  b', 'x  y', 'z'].join('\n'));
  assert.equal(formatCell(undefined), '');
});

test('rows of different shapes become tables of their own', () => {
  const tables = groupRows('mixed', [
    { kind: 'first', figures: { count: 1 } },
    { size: 2 },
    { kind: 'again', figures: { count: 3 } },
  ]);
  assert.deepEqual(tables, [
    {
      title: 'mixed',
      rows: [
        { kind: 'first', count: 1 },
        { kind: 'again', count: 3 },
      ],
    },
    { title: 'mixed', rows: [{ size: 2 }] },
  ]);
});
