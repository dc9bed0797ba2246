import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createConnection, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { Logger, SystemTimerService } from '@hornbeampond/runtime';
import type { ProcessAddress, StoreSettings } from '@hornbeampond/schema';
import type { PersistEffect } from '@hornbeampond/store-core';
import { StoreClient, type PeerContext } from '@hornbeampond/transport';
import type { DiskContents } from './StoreDisk.js';
import { StoreProcess, type StoreFailure } from './StoreProcess.js';
import { MemoryDisk } from './testing/MemoryDisk.js';
import { waitFor } from './testing/StoreCluster.js';
import { LOOPBACK } from './testing/StoreLinks.js';

function makeSettings(stores: ProcessAddress[]): StoreSettings {
  return {
    instance: 'store-1',
    dataCentre: 'wien-a',
    cluster: 'tested',
    clusterSecret: 'secret-of-the-tested-cluster',
    logLevel: 'error',
    operatorListen: { host: LOOPBACK, port: 0 },
    operatorKeys: [],
    stores,
    listen: { host: LOOPBACK, port: 0 },
    dataFolder: 'none',
    electionTimeoutMilliseconds: 300,
    heartbeatMilliseconds: 50,
    leastVoters: 1,
    silentStoreMilliseconds: 0,
    peerHeartbeatMilliseconds: 1000,
  };
}

/** Opens only after `release` was called. */
class BlockedDisk extends MemoryDisk {
  release: () => void = () => {};

  private readonly released = new Promise<void>((resolve) => {
    this.release = resolve;
  });

  override async open(instance: string): Promise<DiskContents> {
    await this.released;
    return super.open(instance);
  }
}

/** Throws from `write` synchronously, as a programming error would. */
class ThrowingDisk extends MemoryDisk {
  override write(effect: PersistEffect): Promise<void> {
    throw new TypeError(`cannot write batch ${effect.batch}`);
  }
}

// A restarted store reads its disk, which takes a while. Guards against a leader that notices an early
// connection, fails to connect back, and tries again only after its reconnect delay.
test('a store connects to its peers only once it listens', async () => {
  const connections: Socket[] = [];
  const peer = createServer((socket) => connections.push(socket));
  peer.listen(0, LOOPBACK);
  await once(peer, 'listening');
  const { port } = peer.address() as AddressInfo;
  const address = { instance: 'store-2', dataCentre: 'wien-b', host: LOOPBACK, port };
  const disk = new BlockedDisk();
  const store = new StoreProcess(makeSettings([address]), new SystemTimerService(), disk);
  const started = store.start();
  // Connections arrive in order, so one that the store had opened would arrive before this one.
  const own = createConnection(port, LOOPBACK);
  await once(peer, 'connection');
  assert.equal(connections.length, 1);
  assert.equal(connections[0]?.remotePort, own.localPort);
  const next = once(peer, 'connection');
  disk.release();
  await Promise.all([started, next]);
  assert.equal(connections.length, 2);
  await store.close();
  own.destroy();
  connections.forEach((socket) => socket.destroy());
  peer.close();
});

// An effect throws, so the state of the store may be incomplete. Guards against a store that then
// reports an outcome which it may not know, and against repeated reports of the failure.
test('a store that fails in an effect reports the failure once and answers no proposal', async () => {
  const failures: StoreFailure[] = [];
  const timers = new SystemTimerService();
  const store = new StoreProcess(makeSettings([]), timers, new ThrowingDisk(), (_, failure) =>
    failures.push(failure),
  );
  const { peers: port } = await store.start();
  store.foundCluster();
  const logger = new Logger({ process: 'test', instance: 'entry-1' }, 'error');
  const identity = { cluster: 'tested', instance: 'entry-1', dataCentre: 'wien-a', role: 'entry' };
  const client = new StoreClient(
    [{ instance: 'store-1', dataCentre: 'wien-a', host: LOOPBACK, port }],
    { identity, secret: 'secret-of-the-tested-cluster', timers, logger } as PeerContext,
  );
  const command = {
    type: 'putTable',
    table: 'pools',
    baseRevision: 0,
    changeId: 'change-1',
    rows: [],
  } as const;
  assert.deepEqual(await client.propose(command, 700), { type: 'unsure' });
  assert.deepEqual(failures, ['unexpectedError']);
  client.close();
  await store.close();
});

/** Waits until a gauge of the store's metrics has a value for which `matches` holds. */
async function waitForGauge(
  store: StoreProcess,
  name: string,
  matches: (value: number) => boolean,
): Promise<void> {
  await waitFor(name, async () => {
    const text = await store.metrics.toPrometheusText();
    const value = new RegExp(`^hornbeampond_${name} (.*)$`, 'm').exec(text)?.[1];
    return value !== undefined && matches(Number(value)) ? true : undefined;
  });
}

// Guards against a store with an empty disk that shows nothing of it: it has no change of role to tell.
test('a store that waits to be let in shows for how long, and that it is no voter', async (context) => {
  const store = new StoreProcess(makeSettings([]), new SystemTimerService(), new MemoryDisk());
  await store.start();
  context.after(async () => store.close());
  await waitForGauge(store, 'store_leaderless_seconds', (seconds) => seconds >= 0.3);
  await waitForGauge(store, 'store_is_voter', (value) => value === 0);
  store.foundCluster();
  await waitForGauge(store, 'store_leaderless_seconds', (seconds) => seconds === 0);
  await waitForGauge(store, 'store_is_voter', (value) => value === 1);
  await waitForGauge(store, 'store_voters', (value) => value === 1);
});
