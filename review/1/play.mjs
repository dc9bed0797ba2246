/**
 * An operator sends some hundred changes of a configuration with 800 routes more than the deployment began
 * with, one after the other, and reads the configuration back. Without TROUBLE the same number of changes
 * is sent without the 800 routes.
 */
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Deployment, runCase } from '../shared/Deployment.mjs';

const hasTrouble = process.env.TROUBLE !== '0';

const STORES = 4;
const BASE_ROUTES = 13;
const MORE_ROUTES = Number(process.env.ROUTES ?? 800);
const CHANGES = Number(process.env.CHANGES ?? 480);

/** `ack_timeout_ms` of the sheets of the small deployments. */
const ACK_TIMEOUT = 4000;

/** The operator asks for this long; `recover_s` of the sheets is 12 s. */
const READ_BACK = 25_000;

/** No change is sent any more after this, so that the case ends in time. */
const LAST_CHANGE_AT = 72_000;

const folder = fileURLToPath(new URL('.', import.meta.url));
const deployment = new Deployment({
  stores: STORES,
  entries: 0,
  recordFile: join(folder, 'record.txt'),
});

function makeRoute(number, timeout) {
  return {
    name: `r-${number.toString(36).padStart(7, 'x')}`,
    host: 'ficu95.example',
    path_prefix: `/p${number}/`,
    type: 'safe',
    timeout_ms: timeout,
    target_latency_ms: 193,
    priority: 1,
    service: 'wuno96b',
    max_attempts: 2,
    public: false,
    sticky: false,
    resumable: false,
  };
}

function makeDocument(version, routes) {
  return {
    version,
    routes: Array.from({ length: routes }, (_, number) => makeRoute(number, 2500 + (version % 7))),
    services: [
      {
        name: 'wuno96b',
        health_path: '/healthz',
        max_connections: 110,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'hule930', api_keys: ['i9n73hh2b9wu3fexd9dn'], priority: 1 }],
  };
}

/** Sends the changes; returns the newest version that was acknowledged. */
async function sendChanges(routes) {
  let acknowledged = 0;
  let unclear = 0;
  for (let version = 1; version <= CHANGES; version += 1) {
    if (Date.now() - deployment.startedAt > LAST_CHANGE_AT) break;
    const { status } = await deployment.putUntilClear(
      makeDocument(version, routes),
      version === 1 ? 20_000 : ACK_TIMEOUT,
      2000,
    );
    if (status === 200) acknowledged = version;
    else unclear += 1;
    if (status !== 200 || version % 40 === 0) {
      deployment.record(`version ${version} with ${routes} routes: status ${status}`);
    }
    // The stores have ended by then, or nothing is acknowledged for another reason.
    if (unclear >= 3) break;
  }
  return acknowledged;
}

/** True if some store returns the newest acknowledged version or a later one. */
async function readsBack(acknowledged) {
  const endsAt = Date.now() + READ_BACK;
  let reads = 0;
  while (Date.now() < endsAt) {
    const answers = await Promise.all(
      deployment.storeNumbers.map(async (store) => deployment.get(store, 2000)),
    );
    reads += 1;
    const versions = answers.map(({ status, body }) =>
      status === 200 ? JSON.parse(body).version : undefined,
    );
    if (reads % 5 === 1 || versions.some((version) => version !== undefined)) {
      const statuses = answers.map(({ status }) => status || 'no answer').join(', ');
      deployment.record(`read of the configuration at the stores: ${statuses}`);
    }
    if (versions.some((version) => version >= acknowledged)) return true;
    await wait(500);
  }
  return false;
}

await runCase(deployment, async () => {
  await deployment.start();
  const routes = BASE_ROUTES + (hasTrouble ? MORE_ROUTES : 0);
  const acknowledged = await sendChanges(routes);
  if (acknowledged === 0) throw new Error('no version was acknowledged');
  deployment.record(`newest acknowledged version: ${acknowledged}`);
  const isReadBack = await readsBack(acknowledged);
  deployment.record(`processes that ended by themselves: ${deployment.ownEnds ?? 0}`);
  deployment.record(
    isReadBack
      ? 'the newest acknowledged configuration was read back'
      : 'the newest acknowledged configuration was not read back',
  );
  return !isReadBack;
});
