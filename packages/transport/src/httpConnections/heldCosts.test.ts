/** What heads of many lines take once Node has parsed them, measured in a process of its own. */
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { test } from 'node:test';
import { promisify } from 'node:util';
import { estimateHeadHeap, REQUEST_HEAP_BYTES } from './heldCosts.js';

const HEADS = 50;
const HEAD_BYTES = 15 * 1024;

/** Prints the heap that each of several parsed requests takes. */
const MEASUREMENT = `
const { createServer } = require('node:http');
const { connect } = require('node:net');
const [heads, head] = [Number(process.argv[1]), process.argv[2]];
const held = [];
const server = createServer((request, response) => {
  held.push(request, response);
  if (held.length < 2 * heads) return;
  setImmediate(() => {
    gc();
    console.log((process.memoryUsage().heapUsed - before) / heads);
    process.exit();
  });
});
server.maxHeadersCount = 0;
let before = 0;
server.listen(0, '127.0.0.1', () => {
  gc();
  before = process.memoryUsage().heapUsed;
  for (let count = 0; count < heads; count += 1) {
    connect(server.address().port, '127.0.0.1').write(head);
  }
});
`;

async function measureHeap(head: string): Promise<number> {
  const options = ['--expose-gc', '--max-http-header-size=65536', '-e', MEASUREMENT];
  const { stdout } = await promisify(execFile)(process.execPath, [...options, String(HEADS), head]);
  return Number(stdout);
}

function repeatLine(line: string): string[] {
  return Array.from({ length: Math.floor(HEAD_BYTES / (line.length + 2)) }, () => line);
}

const manyNames = Array.from({ length: 2700 }, (_, at) => `${at.toString(36)}:`);

const heads: Readonly<Record<string, readonly string[]>> = {
  'short lines of one name': repeatLine('a:'),
  'short lines of many names': manyNames,
  'cookie lines': repeatLine('cookie:a'),
  'set-cookie lines': repeatLine('set-cookie:a'),
};

Object.entries(heads).forEach(([name, lines]) => {
  // Guards against heads that take more memory than is counted for them.
  test(`the estimate for a head covers what it takes: ${name}`, async () => {
    const head = `${['POST / HTTP/1.1', 'Host: a', 'Content-Length: 5', ...lines].join('\r\n')}\r\n\r\n1234`;
    const measured = await measureHeap(head);
    const estimated = REQUEST_HEAP_BYTES + estimateHeadHeap(head.length, lines.length);
    assert.ok(measured > 0 && measured <= estimated, `${measured} of ${estimated} bytes`);
  });
});
