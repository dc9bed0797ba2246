/** Checks statements of docs/CALLERS.md, other than its error table, against a running cluster. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { after, before, test } from 'node:test';
import { fetch } from 'undici';
import { DevCluster } from './DevCluster.js';
import { devKeys } from './devTables.js';

const callersDocument = readFileSync(new URL('../../../docs/CALLERS.md', import.meta.url), 'utf8');
let cluster: DevCluster;
let callers: string;

before(async () => {
  cluster = new DevCluster({ callersPort: 0, operatorsPort: 0, logLevel: 'error' });
  callers = `http://127.0.0.1:${(await cluster.start()).callers}`;
});

after(async () => {
  await cluster.close();
});

async function sendReservation(key: string | undefined, body: string) {
  const authorization = `Bearer ${devKeys.workspace}`;
  const headers = { authorization, ...(key === undefined ? {} : { 'idempotency-key': key }) };
  const response = await fetch(`${callers}/reservations`, { method: 'POST', headers, body });
  const text = await response.text();
  const isProblem = response.headers.get('content-type') === 'application/problem+json';
  return {
    headers: response.headers,
    text,
    kind: isProblem ? (JSON.parse(text) as { readonly kind: string }).kind : undefined,
  };
}

test('the maximum length of Idempotency-Key is the documented one', async () => {
  const [, maxKeyLength] = /1 to (\d+) characters/.exec(callersDocument) ?? [];
  assert.ok(maxKeyLength !== undefined);
  assert.equal((await sendReservation('k'.repeat(Number(maxKeyLength)), 'seat 1')).kind, undefined);
  assert.equal(
    (await sendReservation('k'.repeat(Number(maxKeyLength) + 1), 'seat 1')).kind,
    'badRequest',
  );
});

test('a call without a key, or with another body under its key, is refused as documented', async () => {
  assert.equal((await sendReservation(undefined, 'seat 2')).kind, 'idempotencyKeyMissing');
  assert.equal((await sendReservation('key-2', 'seat 2')).kind, undefined);
  assert.equal((await sendReservation('key-2', 'seat 3')).kind, 'idempotencyKeyReused');
});

test('a resend gets the first answer, with the documented headers', async () => {
  const first = await sendReservation('key-3', 'seat 3');
  const again = await sendReservation('key-3', 'seat 3');
  assert.equal(again.text, first.text);
  ['x-request-id', 'idempotent-replay'].forEach((name) => {
    assert.ok(callersDocument.includes(`\`${name}`), name);
    assert.ok(again.headers.get(name) !== null, name);
  });
  assert.equal(first.headers.get('idempotent-replay'), null);
});
