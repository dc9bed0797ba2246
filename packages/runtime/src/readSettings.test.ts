import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import { storeSettingsSchema } from '@hornbeampond/schema';
import { readSettings } from './readSettings.js';

const validSettings = `
instance = "store-1"
dataCentre = "a"
cluster = "test"
clusterSecret = "0123456789abcdef"
dataFolder = "data"
operatorListen = { host = "127.0.0.1", port = 0 }
listen = { host = "127.0.0.1", port = 0 }
stores = [{ instance = "store-1", dataCentre = "a", host = "127.0.0.1", port = 7071 }]
`;

function read(context: TestContext, text: string) {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  context.after(() => rmSync(folder, { recursive: true }));
  const file = join(folder, 'store.toml');
  writeFileSync(file, text);
  return readSettings(storeSettingsSchema, file);
}

test('valid settings are read, with defaults for missing keys', (context) => {
  const settings = read(context, validSettings);
  assert.ok(settings.ok);
  assert.equal(settings.settings.heartbeatMilliseconds, 150);
  assert.deepEqual(settings.settings.operatorKeys, []);
});

// An operator must not have to start the process again to see the next fault.
test('all faults are reported at once with their keys', (context) => {
  const text = validSettings
    .replace('"0123456789abcdef"', '"short"')
    .replace('"127.0.0.1", port = 7071', '"store.example", port = 7071')
    .replace('instance = "store-1"\ndata', 'instance = "Store 1"\ndata')
    .concat('heartbeatMillis = 5\n');
  const settings = read(context, text);
  assert.ok(!settings.ok);
  const keys = settings.faults.map(({ where }) => where).sort();
  assert.deepEqual(keys, ['(file)', 'clusterSecret', 'instance', 'stores[1].host']);
  const unknown = settings.faults.find(({ where }) => where === '(file)');
  assert.match(unknown?.reason ?? '', /heartbeatMillis/);
});

test('a file that is invalid TOML or missing is reported as one fault', (context) => {
  const broken = read(context, 'instance = ');
  assert.ok(!broken.ok);
  assert.equal(broken.faults.length, 1);
  assert.match(broken.faults[0]?.where ?? '', /store\.toml$/);
  const missing = readSettings(storeSettingsSchema, join(tmpdir(), 'no-such-folder', 'x.toml'));
  assert.ok(!missing.ok);
  assert.match(missing.faults[0]?.reason ?? '', /ENOENT/);
});
