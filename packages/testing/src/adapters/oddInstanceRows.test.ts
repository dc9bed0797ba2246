/**
 * Tests of lists of instances and of notices in which single rows are odd, as the controller and entries
 * read them over this project's own API.
 */
import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { HttpPlatformAdapter } from '@hornbeampond/adapters';

const DAY = 24 * 60 * 60 * 1000;
const { signal } = new AbortController();

const sound = {
  instance: 'i-1',
  dataCentre: 'wien-a',
  instanceClass: 'gpu',
  pool: 'appraisers',
  state: 'live',
  host: '10.0.0.9',
  port: 8080,
};

let server: Server;
let answer: string;
let adapter: HttpPlatformAdapter;

beforeEach(async () => {
  server = createServer((_request, response) => response.end(answer));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  adapter = new HttpPlatformAdapter(`http://127.0.0.1:${port}`);
});

afterEach(async () => {
  await adapter.close();
  server.closeAllConnections();
  await new Promise((resolve) => {
    server.close(resolve);
  });
});

const oddRows: Readonly<Record<string, unknown>> = {
  null: null,
  'a number': 7,
  'no instance': { ...sound, instance: undefined },
  'a name with line ends': { ...sound, instance: 'i-2\r\n' },
  'a name of 1 MB': { ...sound, instance: 'x'.repeat(1024 * 1024) },
  'an unknown state': { ...sound, instance: 'i-2', state: 'paused' },
  'a pool that is a number': { ...sound, instance: 'i-2', pool: 7 },
  'a port out of range': { ...sound, instance: 'i-2', port: 99_999 },
  'a host with a space': { ...sound, instance: 'i-2', host: '10.0.0.9 ' },
  'a host that is no address': { ...sound, instance: 'i-2', host: '999.999.999.999' },
  'an end in a thousand years': { ...sound, instance: 'i-2', goneAt: 1e308 },
  'the same name at another address': { ...sound, host: '10.0.0.66' },
};

Object.entries(oddRows).forEach(([name, row]) => {
  // Guards against a controller and entries that lose the whole list by one row of another writer.
  test(`a row of the list that is odd costs no others: ${name}`, async () => {
    answer = JSON.stringify({ instances: [sound, row, { ...sound, instance: 'i-3' }] });
    const skipped: string[] = [];
    adapter.onSkipped = (rows) => skipped.push(...rows.map(({ reason }) => reason));
    const instances = await adapter.listInstances(signal);
    assert.deepEqual(
      instances.map(({ instance, host }) => [instance, host]),
      [
        ['i-1', '10.0.0.9'],
        ['i-3', '10.0.0.9'],
      ],
    );
    assert.equal(skipped.length, 1);
  });
});

const oddNotices: Readonly<Record<string, unknown>> = {
  null: null,
  'no time': { instance: 'i-2' },
  'a time that is a text': { instance: 'i-2', goneAt: 'soon' },
  'a time in a thousand years': { instance: 'i-2', goneAt: 1e308 },
  'a time before all others': { instance: 'i-2', goneAt: -1e308 },
};

Object.entries(oddNotices).forEach(([name, notice]) => {
  // Guards against reclaim notices, and a list with them, that are lost by one odd notice.
  test(`a notice that is odd costs no others: ${name}`, async () => {
    const goneAt = Date.now() + 5000;
    answer = JSON.stringify({
      notices: [{ instance: 'i-1', goneAt }, notice, { instance: 'i-3', goneAt }],
    });
    const notices = await adapter.readNotices(signal);
    assert.deepEqual(
      notices.map(({ instance }) => instance),
      ['i-1', 'i-3'],
    );
  });
});

// Guards against sound rows that are refused because they are unusual.
test('unusual rows name their instances', async () => {
  const rows = [
    sound,
    { ...sound, instance: 'two words', host: 'server-1.example', further: [1] },
    { ...sound, instance: 'i-3', state: 'starting', port: 0 },
    { ...sound, instance: 'i-4', state: 'leaving', goneAt: Date.now() + DAY, startToken: 't' },
    { ...sound, instance: 'i-5', host: '::1' },
  ];
  answer = JSON.stringify({ instances: rows });
  assert.equal((await adapter.listInstances(signal)).length, rows.length);
});

// Guards against an answer that is no list and is taken for an empty one.
test('an answer that is no list is refused', async () => {
  for (answer of ['{}', '[]', '{"instances":{}}', 'busy']) {
    await assert.rejects(adapter.listInstances(signal));
    await assert.rejects(adapter.readNotices(signal));
  }
});
