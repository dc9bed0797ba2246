import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parsePartKey, toPartKey } from './partKey.js';

// Guards against parts whose names hold the characters that separate them.
test('the name of parts is read back, in whatever order they were named', () => {
  const set = { pool: 'engines/"a"', parts: ['b,c', 'a'] };
  assert.deepEqual(parsePartKey(toPartKey(set)), { pool: set.pool, parts: ['a', 'b,c'] });
  assert.equal(toPartKey(set), toPartKey({ ...set, parts: ['a', 'b,c'] }));
});

// Guards against a digest that is taken for parts, and against a report that cannot be read.
test('what is no name of parts is read as none', () => {
  ['', 'ab12', 'parts:', 'parts:{}', 'parts:["pool"]', 'parts:["pool",1]', 'parts:[[]]'].forEach(
    (key) => assert.equal(parsePartKey(key), undefined, key),
  );
});
