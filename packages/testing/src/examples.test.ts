import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { readdirSync, readFileSync } from 'node:fs';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import {
  checkPoolReferences,
  checkPools,
  checkRoutes,
  controllerSettingsSchema,
  entrySettingsSchema,
  storeSettingsSchema,
  type Deadline,
  type EntrySettings,
  type Route,
} from '@hornbeampond/schema';
import { parse } from 'smol-toml';
import type { z } from 'zod';
import { matchSnapshot } from './matchSnapshot.js';

const root = new URL('../../../examples/', import.meta.url);
const deployments = {
  kartenwerk: ['wien-a', 'wien-b', 'stpoelten', 'eisenstadt'],
  'rails-du-sahel': ['dakar-a', 'dakar-b', 'dakar-c', 'dakar-d'],
};

const settingsSchemas: Readonly<Record<string, z.ZodType>> = {
  store: storeSettingsSchema,
  entry: entrySettingsSchema,
  controller: controllerSettingsSchema,
};

function readText(deployment: string, file: string): string {
  return readFileSync(new URL(`${deployment}/${file}`, root), 'utf8');
}

function findFiles(deployment: string): string[] {
  return readdirSync(fileURLToPath(new URL(`${deployment}/`, root))).sort();
}

function readTables(deployment: string) {
  const routes = checkRoutes(parse(readText(deployment, 'routes.toml')).routes);
  const pools = checkPools(parse(readText(deployment, 'pools.toml')).pools);
  assert.ok(routes.ok, JSON.stringify(routes));
  assert.ok(pools.ok, JSON.stringify(pools));
  return { routes: routes.rows, pools: pools.rows };
}

function readEntry(deployment: string): EntrySettings {
  const file = findFiles(deployment).find((name) => name.startsWith('entry-'));
  assert.ok(file);
  return entrySettingsSchema.parse(parse(readText(deployment, file)));
}

function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

function summarize({ name, pool, idempotent, timeZone, deadline, deadlinesByHour }: Route) {
  const describe = (span: Deadline) =>
    `${span.firstTokenMilliseconds} / ${span.wholeAnswerMilliseconds}`;
  return {
    route: `${name} -> ${pool}, ${idempotent ? 'idempotent' : 'at most once'}, ${timeZone}`,
    deadline: describe(deadline),
    byHour: deadlinesByHour.map((span) => `${span.from}-${span.to}: ${describe(span)}`),
  };
}

test('the routes and deadlines of all deployments match the reviewed snapshot', async () => {
  const summaries = Object.keys(deployments).map((deployment) => [
    deployment,
    readTables(deployment).routes.map(summarize),
  ]);
  await matchSnapshot(import.meta.url, 'routes', Object.fromEntries(summaries));
});

Object.entries(deployments).forEach(([deployment, dataCentres]) => {
  test(`${deployment}: the tables are valid and their references resolve`, () => {
    const { routes, pools } = readTables(deployment);
    assert.deepEqual(checkPoolReferences(routes, pools), []);
    pools.forEach((pool) => assert.deepEqual(pool.dataCentres, dataCentres));
    const workspaces = readEntry(deployment).workspaces.map(({ name }) => name);
    const referencedWorkspaces = routes.flatMap((route) => [
      ...route.match.workspaces,
      ...Object.keys(route.limits.workspaces),
    ]);
    assert.deepEqual(
      referencedWorkspaces.filter((name) => !workspaces.includes(name)),
      [],
    );
  });

  test(`${deployment}: the settings of each kind are valid`, () => {
    const kinds = findFiles(deployment).flatMap((file) => {
      const kind = file.split('-')[0] ?? '';
      const schema = settingsSchemas[kind];
      if (schema === undefined || !file.endsWith('.toml')) return [];
      const parsed = schema.safeParse(parse(readText(deployment, file)));
      assert.ok(parsed.success, `${file}: ${parsed.error?.message}`);
      return [kind];
    });
    assert.deepEqual(kinds, ['controller', 'entry', 'store']);
  });

  test(`${deployment}: the keys are the documented ones and no data centre has a majority of stores`, () => {
    const entry = readEntry(deployment);
    const documented = readText(deployment, 'README.md');
    const keys = entry.workspaces.map((_, position) => `${deployment}-example-key-${position + 1}`);
    keys.forEach((key) => assert.ok(documented.includes(`\`${key}\``), key));
    assert.deepEqual(
      entry.workspaces.map(({ keySha256 }) => keySha256),
      keys.map(hashKey),
    );
    const operatorKey = hashKey(`${deployment}-example-operator-key`);
    assert.equal(entry.operatorKeys[0]?.keySha256, operatorKey);
    assert.equal(entry.entries.length, 7);
    // Without an operator key, every request to bootstrap the cluster is answered with 401.
    const { operatorKeys } = storeSettingsSchema.parse(parse(readText(deployment, 'store-1.toml')));
    assert.equal(operatorKeys[0]?.keySha256, operatorKey);
    const storeDataCentres = entry.stores.map((store) => store.dataCentre);
    assert.equal(
      new Set(storeDataCentres).size,
      storeDataCentres.length,
      'no data centre may hold a majority',
    );
  });
});
